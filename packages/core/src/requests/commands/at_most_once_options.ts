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

/** Bounds of one not-repeatable request. */
export interface AtMostOnceLimits extends AnswerLimits {
  /** Answers up to this size are kept in the claim row itself. */
  readonly inlineAnswerBytes: Bytes;
  /** Most targets that one call tries, each after proof from the last. */
  readonly maxTargets: number;
  /** Most writes of one claim or record, lost replies included. */
  readonly maxWriteAttempts: number;
  /** Longest wait for a tombstone's answer. */
  readonly tombstoneTimeout: Milliseconds;
  /** Pause between looks at an attempt whose stream broke off. */
  readonly pollInterval: Milliseconds;
  /** When to come back, where nobody else says so. */
  readonly retryAfter: Milliseconds;
}

/** Limits for a site of today's size. */
export const DEFAULT_AT_MOST_ONCE_LIMITS: AtMostOnceLimits = {
  answerBytes: 4 * 1024 * 1024,
  // A group commit of a hundred such rows stays well under a megabyte.
  inlineAnswerBytes: 4 * 1024,
  // One target and two more after refusals: a third refusal in a row means
  // that the service as a whole is full or leaving.
  maxTargets: 3,
  // With replies lost independently at 10%, three leave one in a thousand.
  maxWriteAttempts: 3,
  tombstoneTimeout: 500,
  pollInterval: 100,
  retryAfter: 1000,
};

/** Input of one call that may not be repeated. */
export interface AtMostOnceOptions {
  /** From `claimKey`. */
  readonly key: TableKey;
  /** Digest of operation and body. */
  readonly fingerprint: Digest;
  readonly entry: InstanceName;
  readonly deadline: MonotonicInstant;
  readonly limits: AtMostOnceLimits;
  readonly now: () => MonotonicInstant;
  /** Mints an attempt, never the same twice; see `createAttemptSource`. */
  readonly createAttempt: () => AttemptId;
  readonly createDigester: CreateDigester;
}
