import {unreachable} from '../../kernel/flow';
import type {AttemptId, Bytes, Incarnation, VersionDigest} from '../../types';
import type {AttemptFrame, CreateDigester, WholeAnswer} from '../types';

/** What became of one frame. */
export type FrameResult =
  /** Belongs to another answer, or was here before. Changes nothing. */
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
  | {readonly kind: 'complete'; readonly answer: WholeAnswer}
  /** No whole answer can come of this stream any more. */
  | {readonly kind: 'broken'; readonly detail: string};

/** Options of {@link createAnswerAssembler}. */
export interface AnswerAssemblerOptions {
  /** The agent life that was addressed. */
  readonly incarnation: Incarnation;
  readonly createDigester: CreateDigester;
  /** A longer answer is broken. */
  readonly answerBytes: Bytes;
}

/** Puts one attempt's frames together into a whole answer or none. */
export interface AnswerAssembler {
  readonly accept: (frame: AttemptFrame) => FrameResult;
}

// Empty frames without end would fill the memory too. At 65,536 tokens, the
// longest answer, this comes to 1 MB.
const FRAME_OVERHEAD_BYTES = 16;

const DROPPED: FrameResult = {kind: 'dropped'};

/** Assembles the answer to `attempt`, matched by attempt and sequence only. */
export function createAnswerAssembler(
  attempt: AttemptId,
  options: AnswerAssemblerOptions,
): AnswerAssembler {
  const digester = options.createDigester();
  const frames: Uint8Array[] = [];
  let started: {readonly versionDigest: VersionDigest | undefined} | undefined;
  let byteCount = 0;
  let over = false;

  function broken(detail: string): FrameResult {
    over = true;
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
    // A doubled frame would put the same words in the answer twice.
    if (frame.sequence < frames.length) return DROPPED;
    // A lost frame would leave a hole that the caller can't see.
    if (frame.sequence > frames.length) return broken('frame missing');
    byteCount += frame.content.length + FRAME_OVERHEAD_BYTES;
    if (byteCount > options.answerBytes) return broken('answer too long');
    frames.push(frame.content);
    digester.update(frame.content);
    return {kind: 'data', sequence: frame.sequence, content: frame.content};
  }

  function acceptEnd(frame: Extract<AttemptFrame, {kind: 'end'}>): FrameResult {
    if (started === undefined) return broken('end before start');
    // A cut stream with a late end frame is no whole answer.
    if (frame.frameCount !== frames.length) return broken('count differs');
    const digest = digester.finish();
    // Content changed on its way shows only here.
    if (frame.digest !== digest) return broken('digest differs');
    over = true;
    const {versionDigest} = started;
    return {
      kind: 'complete',
      answer: {attempt, versionDigest, frames, digest},
    };
  }

  return {
    accept(frame) {
      // Answers may arrive crossed on one connection: a frame of another
      // attempt would hand one caller another's answer.
      if (frame.attempt !== attempt) return DROPPED;
      if (over) return DROPPED;
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
