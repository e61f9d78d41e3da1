import type {MonotonicInstant, TargetIncarnation} from '../types';
import {createRevisionedRows, type ChangedRows} from '../utils/revisioned_rows';

/** Maximum number of targets whose limits are kept. */
const MAX_TARGETS = 1_000;

/** The rate limit that one incarnation of a target set, or that it set none. */
export interface RateLimitRecord {
  readonly life: TargetIncarnation;
  /** Requests per second from all entries together; undefined if unlimited. */
  readonly rate: number | undefined;
  /** Incremented with each change that any entry has seen. */
  readonly edition: number;
}

/** The rate limit in a target's response. */
export interface LimitedAnswer {
  readonly life: TargetIncarnation;
  readonly rate: number | undefined;
  /** When the request was sent. */
  readonly sentAt: MonotonicInstant;
}

/** The rate limits that targets have set. */
export interface RateLimits {
  /** Records a response received here; returns whether it changes the limit. */
  readonly recordAnswer: (answer: LimitedAnswer) => boolean;
  /** Merges another entry's record; returns whether it is newer. */
  readonly merge: (record: RateLimitRecord) => boolean;
  /** Records that changed after `revision`, at most `most`. */
  readonly changedSince: (
    revision: number,
    most: number,
  ) => ChangedRows<RateLimitRecord>;
  /** The current limit; undefined if there is none. */
  readonly rateOf: (life: TargetIncarnation) => number | undefined;
}

interface HeldLimit extends RateLimitRecord {
  /** When the target last confirmed the limit here. */
  confirmedAt: MonotonicInstant;
}

/**
 * Creates the rate limits known to one entry. Of two records the later edition
 * wins, and of the same edition the stricter limit, so that all entries
 * converge.
 */
export function createRateLimits(clock: () => MonotonicInstant): RateLimits {
  const limits = createRevisionedRows<HeldLimit>(MAX_TARGETS);

  function recordAnswer({life, rate, sentAt}: LimitedAnswer): boolean {
    const held = limits.get(life);
    if (held?.rate === rate) {
      if (held !== undefined) held.confirmedAt = clock();
      return false;
    }
    // A response to an earlier request may arrive after the one with the limit.
    if (
      rate === undefined &&
      held !== undefined &&
      sentAt <= held.confirmedAt
    ) {
      return false;
    }
    set({life, rate, edition: (held?.edition ?? 0) + 1});
    return true;
  }

  function merge(record: RateLimitRecord): boolean {
    const held = limits.get(record.life);
    if (held !== undefined && !isNewer(record, held)) return false;
    set(record);
    return true;
  }

  function set({life, rate, edition}: RateLimitRecord): void {
    limits.set(life, {life, rate, edition, confirmedAt: clock()});
  }

  return {
    recordAnswer,
    merge,
    changedSince: limits.changedSince,
    rateOf: life => limits.get(life)?.rate,
  };
}

function isNewer(record: RateLimitRecord, held: RateLimitRecord): boolean {
  if (record.edition !== held.edition) return record.edition > held.edition;
  return (record.rate ?? Infinity) < (held.rate ?? Infinity);
}
