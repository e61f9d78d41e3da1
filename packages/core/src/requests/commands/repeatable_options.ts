import type {AttemptId, Milliseconds, MonotonicInstant} from '../../types';
import type {AnswerLimits, CreateDigester} from '../types';

/** Bounds of one repeatable request. */
export interface RepeatableLimits extends AnswerLimits {
  /** Maximum number of targets tried, including the first. */
  readonly maxAttempts: number;
  /** Maximum silence of a stream before another target is tried. */
  readonly silence: Milliseconds;
  /** Retry delay for callers where no refusal gives one. */
  readonly retryAfter: Milliseconds;
}

/** Default limits of a repeatable request. */
export const DEFAULT_REPEATABLE_LIMITS: RepeatableLimits = {
  answerBytes: 4 * 1024 * 1024,
  maxAttempts: 3,
  // Longer than any pause of a healthy engine between two tokens.
  silence: 5000,
  retryAfter: 1000,
};

/** Input of one repeatable call. */
export interface RepeatableOptions {
  readonly deadline: MonotonicInstant;
  readonly limits: RepeatableLimits;
  readonly now: () => MonotonicInstant;
  /** Creates a unique attempt; see `createAttemptSource`. */
  readonly createAttempt: () => AttemptId;
  readonly createDigester: CreateDigester;
  /** Takes one retry from the retry budget; `false` if it is exhausted. */
  readonly spendRetry: () => boolean;
}
