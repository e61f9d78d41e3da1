import type {
  AttemptId,
  Bytes,
  Digest,
  InstanceName,
  Milliseconds,
  MonotonicInstant,
  TableKey,
} from '../../types';
import type {AnswerLimits, CreateDigester} from '../types';

/** Bounds of one at-most-once request. */
export interface AtMostOnceLimits extends AnswerLimits {
  /** Answers up to this size are kept in the claim row itself. */
  readonly inlineAnswerBytes: Bytes;
  /**
   * Maximum number of targets that one call tries, each only after proof that
   * the previous attempt did not run.
   */
  readonly maxTargets: number;
  /**
   * Maximum number of writes of one claim or record, including lost replies.
   */
  readonly maxWriteAttempts: number;
  /** Maximum wait for the answer to a tombstone request. */
  readonly tombstoneTimeout: Milliseconds;
  /** Poll interval for an attempt whose stream broke off. */
  readonly pollInterval: Milliseconds;
  /** Retry delay for callers where no refusal gives one. */
  readonly retryAfter: Milliseconds;
}

/** Default limits of an at-most-once request. */
export const DEFAULT_AT_MOST_ONCE_LIMITS: AtMostOnceLimits = {
  answerBytes: 4 * 1024 * 1024,
  // A group commit of a hundred such rows stays well under a megabyte.
  inlineAnswerBytes: 4 * 1024,
  // One target and two more after refusals: a third refusal in a row means
  // that the service as a whole is full or leaving.
  maxTargets: 3,
  // With 10% of the replies lost independently, all three are lost once in a
  // thousand times.
  maxWriteAttempts: 3,
  tombstoneTimeout: 500,
  pollInterval: 100,
  retryAfter: 1000,
};

/** Input of one at-most-once call. */
export interface AtMostOnceOptions {
  /** From `claimKey`. */
  readonly key: TableKey;
  /** Digest of operation and body. */
  readonly fingerprint: Digest;
  readonly entry: InstanceName;
  readonly deadline: MonotonicInstant;
  readonly limits: AtMostOnceLimits;
  readonly now: () => MonotonicInstant;
  /** Creates a unique attempt; see `createAttemptSource`. */
  readonly createAttempt: () => AttemptId;
  readonly createDigester: CreateDigester;
}
