import type {VersionDigest} from '../../types';
import {equalBytes} from '../queries/answer_encoding';
import type {EmitEffect} from '../types';
import type {FrameResult} from './answer_assembler';

/** A frame for the caller. */
export type CallerFrame = EmitEffect['frame'];

/** The frames to send; `differs`: the caller was sent something else. */
export type CallerFrames = readonly CallerFrame[] | 'differs';

/** The part of one answer that its caller has been sent. */
export interface CallerStream {
  /** What to send for a frame; nothing if an earlier try sent an equal one. */
  readonly take: (
    frame: Extract<FrameResult, {kind: 'started' | 'data' | 'complete'}>,
  ) => CallerFrames;
  /** The version of the frames that the caller has, if it has any. */
  readonly startedVersion: () => VersionDigest | undefined;
}

const NO_FRAMES: CallerFrames = [];

/** Sends one answer over several tries, each frame once. */
export function createCallerStream(): CallerStream {
  const sent: Uint8Array[] = [];
  let version: VersionDigest | undefined;
  let hasStarted = false;

  /** The start goes out with the first content: until then, any version. */
  function withStart(frame: CallerFrame): CallerFrames {
    if (hasStarted) return [frame];
    hasStarted = true;
    return [{kind: 'started', versionDigest: version}, frame];
  }

  function takeStarted(versionDigest: VersionDigest | undefined): CallerFrames {
    // The rest of an answer from another version would mix two versions.
    if (hasStarted && version !== versionDigest) return 'differs';
    version = versionDigest;
    return NO_FRAMES;
  }

  function takeData(sequence: number, content: Uint8Array): CallerFrames {
    const earlier = sent[sequence];
    if (earlier === undefined) {
      sent.push(content);
      return withStart({kind: 'data', sequence, content});
    }
    // Two runs may word one answer differently; spliced, neither is whole.
    return equalBytes(earlier, content) ? NO_FRAMES : 'differs';
  }

  return {
    startedVersion: () => (hasStarted ? version : undefined),
    take(frame) {
      if (frame.kind === 'started') return takeStarted(frame.versionDigest);
      if (frame.kind === 'data') return takeData(frame.sequence, frame.content);
      const {frames, digest} = frame.answer;
      // The caller has more than this whole answer: another answer.
      if (frames.length < sent.length) return 'differs';
      return withStart({kind: 'end', frameCount: frames.length, digest});
    },
  };
}
