import type {AttemptId, Milliseconds, MonotonicInstant} from '../../types';
import type {AnswerLimits, CreateDigester} from '../types';

/** Bounds of one repeatable request. */
export interface RepeatableLimits extends AnswerLimits {
  /** Most targets tried, the first included. */
  readonly maxAttempts: number;
  /** Longest silence of a stream before the request goes elsewhere. */
  readonly silence: Milliseconds;
  /** When to come back, where nobody else says so. */
  readonly retryAfter: Milliseconds;
}

/** Limits for a site of today's size. */
export const DEFAULT_REPEATABLE_LIMITS: RepeatableLimits = {
  answerBytes: 4 * 1024 * 1024,
  maxAttempts: 3,
  // Longer than any pause of a healthy engine between two tokens.
  silence: 5000,
  retryAfter: 1000,
};

/** Input of one call that may be repeated. */
export interface RepeatableOptions {
  readonly deadline: MonotonicInstant;
  readonly limits: RepeatableLimits;
  readonly now: () => MonotonicInstant;
  /** Mints an attempt, never the same twice; see `createAttemptSource`. */
  readonly createAttempt: () => AttemptId;
  readonly createDigester: CreateDigester;
  /** Asks the retry budget for one more try; `false` if it is spent. */
  readonly spendRetry: () => boolean;
}
