import type {VersionDigest} from '../../types';
import {equalBytes} from '../queries/answer_encoding';
import type {EmitEffect} from '../types';
import type {FrameResult} from './answer_assembler';

/** A frame for the caller. */
export type CallerFrame = EmitEffect['frame'];

/** The frames to send; `differs` if the caller was sent a different answer. */
export type CallerFrames = readonly CallerFrame[] | 'differs';

/** Tracks which part of one answer was sent to its caller. */
export interface CallerStream {
  /**
   * The frames to send for a received one; none if an earlier attempt sent an
   * equal one.
   */
  readonly take: (
    frame: Extract<FrameResult, {kind: 'started' | 'data' | 'complete'}>,
  ) => CallerFrames;
  /** The version of the frames that the caller has received, if any. */
  readonly startedVersion: () => VersionDigest | undefined;
}

const NO_FRAMES: CallerFrames = [];

/**
 * Creates the stream of one answer over several attempts; each frame is sent
 * once.
 */
export function createCallerStream(): CallerStream {
  const sent: Uint8Array[] = [];
  let version: VersionDigest | undefined;
  let hasStarted = false;

  /**
   * The start is sent with the first content: until then, any version may serve
   * the answer.
   */
  function withStart(frame: CallerFrame): CallerFrames {
    if (hasStarted) return [frame];
    hasStarted = true;
    return [{kind: 'started', versionDigest: version}, frame];
  }

  function takeStarted(versionDigest: VersionDigest | undefined): CallerFrames {
    // Continuing with another version would mix two versions in one answer.
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
    // Two runs may word one answer differently; spliced, they are neither.
    return equalBytes(earlier, content) ? NO_FRAMES : 'differs';
  }

  return {
    startedVersion: () => (hasStarted ? version : undefined),
    take(frame) {
      if (frame.kind === 'started') return takeStarted(frame.versionDigest);
      if (frame.kind === 'data') return takeData(frame.sequence, frame.content);
      const {frames, digest} = frame.answer;
      // The caller has more frames than this answer, so it has another one.
      if (frames.length < sent.length) return 'differs';
      return withStart({kind: 'end', frameCount: frames.length, digest});
    },
  };
}
