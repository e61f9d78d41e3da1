import {unreachable} from '../../kernel/flow';
import type {AttemptId, Bytes, Incarnation, VersionDigest} from '../../types';
import type {AttemptFrame, CreateDigester, CompleteAnswer} from '../types';

/** Result of accepting one frame. */
export type FrameResult =
  /** Belongs to another answer or is a duplicate; ignored. */
  | {readonly kind: 'dropped'}
  | {
      readonly kind: 'started';
      readonly versionDigest: VersionDigest | undefined;
    }
  | {
      readonly kind: 'data';
      readonly sequence: number;
      readonly content: Uint8Array;
    }
  | {readonly kind: 'complete'; readonly answer: CompleteAnswer}
  /** The stream can no longer produce a complete answer. */
  | {readonly kind: 'broken'; readonly detail: string};

/** Options of {@link createAnswerAssembler}. */
export interface AnswerAssemblerOptions {
  /** The agent incarnation that was addressed. */
  readonly incarnation: Incarnation;
  readonly createDigester: CreateDigester;
  /** Maximum size of an answer; a longer one is reported as broken. */
  readonly answerBytes: Bytes;
}

/** Assembles the frames of one attempt into a complete answer, or none. */
export interface AnswerAssembler {
  readonly accept: (frame: AttemptFrame) => FrameResult;
}

// Added for each frame, since endless empty frames would also fill the memory.
// For the longest answer, 65,536 tokens, this comes to 1 MB.
const FRAME_OVERHEAD_BYTES = 16;

const DROPPED: FrameResult = {kind: 'dropped'};

/**
 * Creates the assembler of one answer. Frames are matched by attempt and
 * sequence only.
 */
export function createAnswerAssembler(
  attempt: AttemptId,
  options: AnswerAssemblerOptions,
): AnswerAssembler {
  const digester = options.createDigester();
  const frames: Uint8Array[] = [];
  let started: {readonly versionDigest: VersionDigest | undefined} | undefined;
  let byteCount = 0;
  let isEnded = false;

  function broken(detail: string): FrameResult {
    isEnded = true;
    return {kind: 'broken', detail};
  }

  function acceptStarted(
    frame: Extract<AttemptFrame, {kind: 'started'}>,
  ): FrameResult {
    if (frame.incarnation !== options.incarnation) {
      return broken('started by another incarnation');
    }
    if (started === undefined) {
      started = {versionDigest: frame.versionDigest};
      return {kind: 'started', versionDigest: frame.versionDigest};
    }
    // A second start at another version would mix two versions in one answer.
    if (started.versionDigest !== frame.versionDigest) {
      return broken('started at two versions');
    }
    return DROPPED;
  }

  function acceptData(
    frame: Extract<AttemptFrame, {kind: 'data'}>,
  ): FrameResult {
    if (started === undefined) return broken('data before start');
    // A duplicate frame would repeat its content in the answer.
    if (frame.sequence < frames.length) return DROPPED;
    // A lost frame would leave a gap that the caller can't detect.
    if (frame.sequence > frames.length) return broken('frame missing');
    byteCount += frame.content.length + FRAME_OVERHEAD_BYTES;
    if (byteCount > options.answerBytes) return broken('answer too long');
    frames.push(frame.content);
    digester.update(frame.content);
    return {kind: 'data', sequence: frame.sequence, content: frame.content};
  }

  function acceptEnd(frame: Extract<AttemptFrame, {kind: 'end'}>): FrameResult {
    if (started === undefined) return broken('end before start');
    // A stream that lost frames is incomplete, even if its end frame arrives.
    if (frame.frameCount !== frames.length) return broken('count differs');
    const digest = digester.finish();
    // Only the digest detects content that was changed in transit.
    if (frame.digest !== digest) return broken('digest differs');
    isEnded = true;
    const {versionDigest} = started;
    return {
      kind: 'complete',
      answer: {attempt, versionDigest, frames, digest},
    };
  }

  return {
    accept(frame) {
      // Frames of several answers may be interleaved on one connection.
      // Accepting a frame of another attempt would give one caller another's
      // answer.
      if (frame.attempt !== attempt) return DROPPED;
      if (isEnded) return DROPPED;
      switch (frame.kind) {
        case 'started':
          return acceptStarted(frame);
        case 'data':
          return acceptData(frame);
        case 'end':
          return acceptEnd(frame);
        default:
          return unreachable(frame);
      }
    },
  };
}
