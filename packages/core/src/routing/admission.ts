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

/** Inputs of an admission decision for one request. */
export interface AdmissionRequest {
  readonly now: MonotonicInstant;
  /** Deadline of the first token; undefined for a plain service. */
  readonly firstTokenBy: MonotonicInstant | undefined;
  readonly deadline: MonotonicInstant;
  /** Expected number of tokens in the response; 0 for a plain service. */
  readonly expectedTokens: number;
  /** The best target currently available. */
  readonly choice: TargetChoice;
  /** Queued requests of this entry whose turn comes before this one's. */
  readonly turnsAhead: number;
  /** Whether the workspace already uses more than its share. */
  readonly overShare: boolean;
}

/** What to do with a request; decided at once and final. */
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
  /**
   * Whether the head of the queue, which has waited for `waited`, may be sent
   * to `choice` now.
   */
  readonly mayLeaveQueue: (
    choice: TargetChoice,
    waited: Milliseconds,
  ) => boolean;
  /** Adjusts the margin to how far the expectation was off. */
  readonly recordFirstToken: (
    expected: Milliseconds,
    actual: Milliseconds,
  ) => void;
  /** Safety margin for first tokens that come later than expected. */
  readonly margin: () => Milliseconds;
}

/** Options of an admission. */
export interface AdmissionOptions {
  /** Time within which a first token is due; bounds the margin. */
  readonly firstTokenGoal: Milliseconds;
}

/** Creates an admission with a margin of 0. */
export function createAdmission(options: AdmissionOptions): Admission {
  const maxMargin = MAX_MARGIN_SHARE * options.firstTokenGoal;
  let margin = 0;

  const decide = (request: AdmissionRequest): AdmissionDecision => {
    const queueWait = request.turnsAhead * request.choice.turnTime;
    const late = lateness(request, queueWait, margin);
    if (late > 0) {
      return {
        kind: 'refuse',
        reason: 'deadlineTooShort',
        retryAfter: boundRetryAfter(late),
      };
    }
    const {choice, overShare} = request;
    const isNext = request.turnsAhead === 0;
    if (isNext && mayDispatch(choice, overShare)) return {kind: 'dispatch'};
    // A flood would fill the queue with requests that are overtaken until it is
    // too late for them, and their callers would be refused only after a long
    // wait.
    if (overShare) {
      return {
        kind: 'refuse',
        reason: 'workspaceLimit',
        retryAfter: boundRetryAfter(choice.turnTime),
      };
    }
    return {kind: 'queue', expectedWait: queueWait};
  };

  const mayDispatch = (choice: TargetChoice, overShare: boolean): boolean =>
    overShare
      ? choice.expectedLoad <= 1 - RESERVED_SLOT_SHARE
      : choice.expectedWait <= MAX_TARGET_WAIT;

  // A request in the queue was promised a response, so it is sent even if the
  // wait is longer than expected.
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

/**
 * Returns by how much a request misses its time; 0 or less if it is in time.
 */
function lateness(
  request: AdmissionRequest,
  queueWait: Milliseconds,
  margin: Milliseconds,
): Milliseconds {
  const {choice} = request;
  const firstToken =
    request.now + queueWait + choice.expectedFirstToken + margin;
  const end = firstToken + request.expectedTokens * choice.expectedTokenTime;
  const endLate = end - request.deadline;
  if (request.firstTokenBy === undefined) return endLate;
  return Math.max(firstToken - request.firstTokenBy, endLate);
}

/** Returns a finite retry delay, whatever the estimate. */
export function boundRetryAfter(time: Milliseconds): Milliseconds {
  if (!Number.isFinite(time)) return MAX_RETRY_AFTER;
  const bounded = Math.max(MIN_RETRY_AFTER, time);
  return Math.ceil(Math.min(MAX_RETRY_AFTER, bounded));
}
