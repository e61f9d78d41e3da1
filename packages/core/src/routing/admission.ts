import type {Milliseconds, MonotonicInstant} from '../types';
import {
  ADMISSION_MARGIN_STEP,
  ADMISSION_QUANTILE,
  MAX_MARGIN_SHARE,
  MAX_ENTRY_WAIT,
  MAX_RETRY_AFTER,
  MAX_TARGET_WAIT,
  RESERVED_SLOT_SHARE,
  MIN_RETRY_AFTER,
} from './constants';
import type {TargetChoice} from './types';

/** What admission weighs for one request. */
export interface AdmissionRequest {
  readonly now: MonotonicInstant;
  /** When the first token must be there; absent for a plain service. */
  readonly firstTokenBy: MonotonicInstant | undefined;
  readonly deadline: MonotonicInstant;
  /** Tokens that the answer probably has; 0 for a plain service. */
  readonly expectedTokens: number;
  /** Best target as things stand. */
  readonly choice: TargetChoice;
  /** Requests of the entry's queue that have their turn before this one. */
  readonly turnsAhead: number;
  /** Whether the workspace already holds more than its share. */
  readonly overShare: boolean;
}

/** What to do with a request, at once and finally. */
export type AdmissionDecision =
  | {readonly kind: 'dispatch'}
  /** Queue it; its turn should come after `expectedWait`. */
  | {readonly kind: 'queue'; readonly expectedWait: Milliseconds}
  | {
      readonly kind: 'refuse';
      readonly reason: 'deadlineTooShort' | 'workspaceLimit';
      readonly retryAfter: Milliseconds;
    };

/** Decides which requests can be answered in time. */
export interface Admission {
  readonly decide: (request: AdmissionRequest) => AdmissionDecision;
  /** Whether the head of the queue, there for `waited`, goes to `choice` now. */
  readonly mayLeaveQueue: (
    choice: TargetChoice,
    waited: Milliseconds,
  ) => boolean;
  /** Learns how far the expectation was off. */
  readonly recordFirstToken: (
    expected: Milliseconds,
    actual: Milliseconds,
  ) => void;
  /** Time kept free because first tokens come later than expected. */
  readonly margin: () => Milliseconds;
}

/** Settings of an admission. */
export interface AdmissionOptions {
  /** Time within which a first token is due; bounds the margin. */
  readonly firstTokenGoal: Milliseconds;
}

/** Creates an admission without experience. */
export function createAdmission(options: AdmissionOptions): Admission {
  const maxMargin = MAX_MARGIN_SHARE * options.firstTokenGoal;
  let margin = 0;

  const decide = (request: AdmissionRequest): AdmissionDecision => {
    const queued = request.turnsAhead * request.choice.turnTime;
    const late = lateness(request, queued, margin);
    if (late > 0) {
      return {
        kind: 'refuse',
        reason: 'deadlineTooShort',
        retryAfter: boundRetryAfter(late),
      };
    }
    const {choice, overShare} = request;
    const alone = request.turnsAhead === 0;
    if (alone && mayDispatch(choice, overShare)) return {kind: 'dispatch'};
    // Guard against a flood whose queued requests are overtaken until it is too
    // late for them: their callers would be refused only after a long wait.
    if (overShare) {
      return {
        kind: 'refuse',
        reason: 'workspaceLimit',
        retryAfter: boundRetryAfter(choice.turnTime),
      };
    }
    return {kind: 'queue', expectedWait: queued};
  };

  const mayDispatch = (choice: TargetChoice, overShare: boolean): boolean =>
    overShare
      ? choice.expectedLoad <= 1 - RESERVED_SLOT_SHARE
      : choice.expectedWait <= MAX_TARGET_WAIT;

  // Guard against a late refusal: a request that was let into the queue has
  // been promised an answer, so it goes out even if the wait proves longer.
  const mayLeaveQueue = (choice: TargetChoice, waited: Milliseconds): boolean =>
    mayDispatch(choice, false) || waited >= MAX_ENTRY_WAIT;

  const recordFirstToken = (
    expected: Milliseconds,
    actual: Milliseconds,
  ): void => {
    const change =
      actual > expected + margin ? ADMISSION_QUANTILE : ADMISSION_QUANTILE - 1;
    margin += ADMISSION_MARGIN_STEP * change;
    margin = Math.min(maxMargin, Math.max(0, margin));
  };

  return {
    decide,
    mayLeaveQueue,
    recordFirstToken,
    margin: () => margin,
  };
}

/** By how much a request would miss its time; 0 or less if it makes it. */
function lateness(
  request: AdmissionRequest,
  queued: Milliseconds,
  margin: Milliseconds,
): Milliseconds {
  const {choice} = request;
  const firstToken = request.now + queued + choice.expectedFirstToken + margin;
  const end = firstToken + request.expectedTokens * choice.expectedTokenTime;
  const endLate = end - request.deadline;
  if (request.firstTokenBy === undefined) return endLate;
  return Math.max(firstToken - request.firstTokenBy, endLate);
}

/** A finite time to come back, whatever the estimate. */
export function boundRetryAfter(time: Milliseconds): Milliseconds {
  if (!Number.isFinite(time)) return MAX_RETRY_AFTER;
  const bounded = Math.max(MIN_RETRY_AFTER, time);
  return Math.ceil(Math.min(MAX_RETRY_AFTER, bounded));
}
