import type {AttemptId, RefusedEvent, CompleteAnswer} from '@hibiscusbeam/core';
import type {ServeFrame} from '@hibiscusbeam/wire';

/** Frame that reports that the target has started the attempt. */
export function startedFrame(
  attempt: AttemptId,
  versionDigest: string | undefined,
  incarnation: number,
): ServeFrame {
  const started = {versionDigest: versionDigest ?? '', incarnation};
  return {attempt, frame: {$case: 'started', started}};
}

/** Frame with a part of the answer. */
export function dataFrame(
  attempt: AttemptId,
  sequence: number,
  content: Uint8Array,
): ServeFrame {
  return {attempt, frame: {$case: 'data', data: {sequence, content}}};
}

/** Frame that ends an answer that was sent whole. */
export function endFrame(
  attempt: AttemptId,
  frameCount: number,
  digest: string,
): ServeFrame {
  return {attempt, frame: {$case: 'end', end: {frameCount, digest}}};
}

/** Frame for an attempt that has not started and never will. */
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

/** Frame for an attempt that failed and may have run. */
export function failedFrame(attempt: AttemptId, detail: string): ServeFrame {
  return {attempt, frame: {$case: 'failed', failed: {detail}}};
}

/** All frames of a cached answer. */
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
