import type {MonotonicInstant, TargetLife} from '../types';

/** Targets whose limits are remembered. */
const MOST_TARGETS = 1_000;

/** The limit that one life of a target has named, or that it names none. */
export interface RateLimitRecord {
  readonly life: TargetLife;
  /** Requests a second from all entries together; undefined for no limit. */
  readonly rate: number | undefined;
  /** Grows with each change that any entry has seen. */
  readonly edition: number;
}

/** An answer of a target, as far as its limit is concerned. */
export interface LimitedAnswer {
  readonly life: TargetLife;
  readonly rate: number | undefined;
  /** When the request was sent. */
  readonly sentAt: MonotonicInstant;
}

/** Limits that have changed since a revision. */
export interface RateLimitChanges {
  readonly records: readonly RateLimitRecord[];
  /** What to ask from next time. */
  readonly revision: number;
}

/** The limits that targets have named. */
export interface RateLimits {
  /** Takes an answer seen here; returns whether it changes the limit. */
  readonly noteAnswer: (answer: LimitedAnswer) => boolean;
  /** Takes what another entry knows; returns whether it is newer. */
  readonly merge: (record: RateLimitRecord) => boolean;
  /** Records that changed after `revision`, oldest change first. */
  readonly changedSince: (revision: number, most: number) => RateLimitChanges;
  /** The limit in force; undefined if there is none. */
  readonly rateOf: (life: TargetLife) => number | undefined;
}

interface HeldLimit {
  readonly rate: number | undefined;
  readonly edition: number;
  readonly revision: number;
  /** When the target was last known here to say so. */
  notedAt: MonotonicInstant;
}

/**
 * Creates the limits that one entry knows of. Of two records the one of the later
 * edition counts, and of one edition the stricter, so that all come to the same.
 */
export function createRateLimits(clock: () => MonotonicInstant): RateLimits {
  const limits = new Map<TargetLife, HeldLimit>();
  let revision = 0;

  function noteAnswer({life, rate, sentAt}: LimitedAnswer): boolean {
    const held = limits.get(life);
    if (held?.rate === rate) {
      if (held !== undefined) held.notedAt = clock();
      return false;
    }
    // An answer to an earlier request may have overtaken the one with the limit.
    if (rate === undefined && held !== undefined && sentAt <= held.notedAt) {
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

  /** Moves a changed limit to the end, and makes room for it. */
  function set({life, rate, edition}: RateLimitRecord): void {
    revision += 1;
    limits.delete(life);
    limits.set(life, {rate, edition, revision, notedAt: clock()});
    const [oldest] = limits.keys();
    if (limits.size > MOST_TARGETS && oldest !== undefined) {
      limits.delete(oldest);
    }
  }

  function changedSince(after: number, most: number): RateLimitChanges {
    if (after >= revision) return {records: [], revision};
    const changed = [...limits].filter(([, held]) => held.revision > after);
    const taken = changed.slice(0, most);
    const isAll = taken.length === changed.length;
    return {
      records: taken.map(([life, {rate, edition}]) => ({life, rate, edition})),
      revision: isAll ? revision : (taken.at(-1)?.[1].revision ?? after),
    };
  }

  return {
    noteAnswer,
    merge,
    changedSince,
    rateOf: life => limits.get(life)?.rate,
  };
}

function isNewer(record: RateLimitRecord, held: HeldLimit): boolean {
  if (record.edition !== held.edition) return record.edition > held.edition;
  return (record.rate ?? Infinity) < (held.rate ?? Infinity);
}
