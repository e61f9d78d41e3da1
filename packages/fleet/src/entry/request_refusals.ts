import {unreachable, type Bytes, type Milliseconds} from '@hibiscusbeam/core';
import {notRun, type LocalAnswer} from './local_answers';
import type {BodyReading} from './request_body';
import type {UnreadRest} from './unread_requests';

/** Answer to a body that is larger than the configuration allows. */
export const BODY_TOO_LARGE_ANSWER: LocalAnswer = {
  status: 413,
  reason: 'the body is too large',
};

/** Answer to an expectation other than `100-continue`. */
export const UNKNOWN_EXPECTATION_ANSWER: LocalAnswer = {
  status: 417,
  reason: 'unknown expectation',
};

const LATE_BODY_ANSWER: LocalAnswer = {
  status: 408,
  reason: 'the body came too late',
};

/** Retry-After for callers whose request did not fit the memory. */
const RETRY_OVERLOADED_AFTER: Milliseconds = 500;

/**
 * Maximum number of bytes that are read of a refused body until a configuration
 * limits bodies.
 */
const INITIAL_MAX_REST: Bytes = 4 * 1024 * 1024;

/** How a request is refused whose body has not been read whole. */
export interface BodyRefusal {
  readonly answer: LocalAnswer;
  readonly rest: UnreadRest;
}

/** What the refusal of a body depends on. */
export interface RefusedBody {
  readonly reading: Extract<BodyReading, {readonly kind: 'refused'}>;
  readonly tooLargeAnswer: LocalAnswer;
  /** The configuration's limit, if known. */
  readonly maxBody: Bytes | undefined;
}

/** The refusal of a body. */
export function bodyRefusal({
  reading: {reason},
  tooLargeAnswer,
  maxBody,
}: RefusedBody): BodyRefusal {
  switch (reason) {
    case 'tooLarge':
      return {answer: tooLargeAnswer, rest: discardedRest(maxBody)};
    case 'late':
      return {answer: LATE_BODY_ANSWER, rest: discardedRest(maxBody)};
    case 'overloaded':
      return {
        answer: notRun(reason, RETRY_OVERLOADED_AFTER),
        rest: discardedRest(maxBody),
      };
    case 'fragmented':
    case 'tooManyConnections':
      return {
        answer: notRun(reason, RETRY_OVERLOADED_AFTER),
        rest: {kind: 'cut'},
      };
    default:
      return unreachable(reason);
  }
}

/** A body that the configuration allows is read to its end. */
export function discardedRest(maxBody: Bytes | undefined): UnreadRest {
  return {kind: 'discard', maxBytes: maxBody ?? INITIAL_MAX_REST};
}
