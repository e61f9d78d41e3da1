import type {VersionDigest} from '../../types';
import {equalBytes} from '../queries/answer_encoding';
import type {EmitEffect, RequestFlow} from '../types';
import type {FrameResult} from './answer_assembler';

/** What came of passing a frame on. */
export type PassResult =
  /** The caller has it, from this try or an earlier one. */
  | 'passed'
  /** The caller has been sent something else in this place. */
  | 'differs'
  | 'callerGone';

/** The part of one answer that its caller has been sent. */
export interface CallerStream {
  /** Sends a frame, or skips it if an earlier try sent an equal one. */
  readonly pass: (
    frame: Extract<FrameResult, {kind: 'started' | 'data' | 'complete'}>,
  ) => RequestFlow<PassResult>;
  /** The version of the frames that the caller has, if it has any. */
  readonly begunVersion: () => VersionDigest | undefined;
}

/** Sends one answer over several tries, each frame once. */
export function createCallerStream(): CallerStream {
  const sent: Uint8Array[] = [];
  let version: VersionDigest | undefined;
  let begun = false;

  function* emit(frame: EmitEffect['frame']): RequestFlow<PassResult> {
    const reply = yield {kind: 'emit', frame};
    return reply.kind === 'callerGone' ? 'callerGone' : 'passed';
  }

  /** The start goes out with the first content: until then, any version. */
  function* begin(): RequestFlow<PassResult> {
    if (begun) return 'passed';
    begun = true;
    return yield* emit({kind: 'started', versionDigest: version});
  }

  function passStarted(versionDigest: VersionDigest | undefined): PassResult {
    // The rest of an answer from another version would mix two versions.
    if (begun && version !== versionDigest) return 'differs';
    version = versionDigest;
    return 'passed';
  }

  function* passData(
    sequence: number,
    content: Uint8Array,
  ): RequestFlow<PassResult> {
    const earlier = sent[sequence];
    if (earlier !== undefined) {
      // Two runs may word one answer differently; spliced, neither is whole.
      return equalBytes(earlier, content) ? 'passed' : 'differs';
    }
    const start = yield* begin();
    if (start !== 'passed') return start;
    sent.push(content);
    return yield* emit({kind: 'data', sequence, content});
  }

  return {
    begunVersion: () => (begun ? version : undefined),
    *pass(frame) {
      if (frame.kind === 'started') return passStarted(frame.versionDigest);
      if (frame.kind === 'data') {
        return yield* passData(frame.sequence, frame.content);
      }
      const {frames, digest} = frame.answer;
      // The caller has more than this whole answer: another answer.
      if (frames.length < sent.length) return 'differs';
      const start = yield* begin();
      if (start !== 'passed') return start;
      return yield* emit({kind: 'end', frameCount: frames.length, digest});
    },
  };
}
