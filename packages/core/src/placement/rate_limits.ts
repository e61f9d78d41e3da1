import type {MonotonicInstant, TargetIncarnation} from '../types';
import {createRevisionedRows, type ChangedRows} from '../utils/revisioned_rows';

/** Targets whose limits are remembered. */
const MAX_TARGETS = 1_000;

/** The limit that one life of a target has named, or that it names none. */
export interface RateLimitRecord {
  readonly life: TargetIncarnation;
  /** Requests a second from all entries together; undefined for no limit. */
  readonly rate: number | undefined;
  /** Grows with each change that any entry has seen. */
  readonly edition: number;
}

/** An answer of a target, as far as its limit is concerned. */
export interface LimitedAnswer {
  readonly life: TargetIncarnation;
  readonly rate: number | undefined;
  /** When the request was sent. */
  readonly sentAt: MonotonicInstant;
}

/** The limits that targets have named. */
export interface RateLimits {
  /** Takes an answer seen here; returns whether it changes the limit. */
  readonly recordAnswer: (answer: LimitedAnswer) => boolean;
  /** Takes what another entry knows; returns whether it is newer. */
  readonly merge: (record: RateLimitRecord) => boolean;
  /** Records that changed after `revision`, no more than `most`. */
  readonly changedSince: (
    revision: number,
    most: number,
  ) => ChangedRows<RateLimitRecord>;
  /** The limit in force; undefined if there is none. */
  readonly rateOf: (life: TargetIncarnation) => number | undefined;
}

interface HeldLimit extends RateLimitRecord {
  /** When the target was last known here to say so. */
  confirmedAt: MonotonicInstant;
}

/**
 * Creates the limits that one entry knows of. Of two records the one of the later
 * edition counts, and of one edition the stricter, so that all come to the same.
 */
export function createRateLimits(clock: () => MonotonicInstant): RateLimits {
  const limits = createRevisionedRows<HeldLimit>(MAX_TARGETS);

  function recordAnswer({life, rate, sentAt}: LimitedAnswer): boolean {
    const held = limits.get(life);
    if (held?.rate === rate) {
      if (held !== undefined) held.confirmedAt = clock();
      return false;
    }
    // An answer to an earlier request may have overtaken the one with the limit.
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
