import type {AttemptId, RefusedEvent, CompleteAnswer} from '@hibiscusbeam/core';
import type {ServeFrame} from '@hibiscusbeam/wire';

/** The target has begun on the attempt. */
export function startedFrame(
  attempt: AttemptId,
  versionDigest: string | undefined,
  incarnation: number,
): ServeFrame {
  const started = {versionDigest: versionDigest ?? '', incarnation};
  return {attempt, frame: {$case: 'started', started}};
}

/** A part of the answer. */
export function dataFrame(
  attempt: AttemptId,
  sequence: number,
  content: Uint8Array,
): ServeFrame {
  return {attempt, frame: {$case: 'data', data: {sequence, content}}};
}

/** The whole answer has been sent. */
export function endFrame(
  attempt: AttemptId,
  frameCount: number,
  digest: string,
): ServeFrame {
  return {attempt, frame: {$case: 'end', end: {frameCount, digest}}};
}

/** The attempt has not started and never will. */
export function refusedFrame(event: RefusedEvent): ServeFrame {
  const {attempt, reason, retryAfter, incarnation} = event;
  const retryAfterMilliseconds = Math.ceil(retryAfter);
  return {
    attempt,
    frame: {
      $case: 'refused',
      refused: {reason, retryAfterMilliseconds, incarnation},
    },
  };
}

/** The attempt may have run. */
export function failedFrame(attempt: AttemptId, detail: string): ServeFrame {
  return {attempt, frame: {$case: 'failed', failed: {detail}}};
}

/** All frames of an answer that is at hand. */
export function framesOf(
  answer: CompleteAnswer,
  incarnation: number,
): readonly ServeFrame[] {
  const {attempt, versionDigest, frames, digest} = answer;
  return [
    startedFrame(attempt, versionDigest, incarnation),
    ...frames.map((content, sequence) => dataFrame(attempt, sequence, content)),
    endFrame(attempt, frames.length, digest),
  ];
}
