import {hash32} from '../utils/hash';
import type {MonotonicInstant, TargetIncarnation} from '../types';
import {targetIncarnationKey, type TargetIdentity} from './target_incarnation';
import type {SendingEntry} from './types';

const SECOND = 1_000;

/**
 * Minimum rate at which a target is tried, so that the end of its limit is
 * noticed.
 */
const MIN_RATE = 0.25;

/**
 * Sends that an entry may accumulate, in seconds of its share; at least one.
 */
const MAX_BURST_SECONDS = 0.25;

/** Targets whose sends are counted; an entry sends to fewer at a time. */
const MAX_TARGETS = 1_000;

/** Options of a send pacer. */
export interface SendPacerOptions {
  readonly self: SendingEntry;
  /** The rate limit of a target, for all entries together. */
  readonly rateOf: (key: TargetIncarnation) => number | undefined;
  /**
   * Share of the site's entries that are known as senders, 0 to 1. An entry
   * that is cut off from others takes no more than its own share of a limit.
   */
  readonly knownShare: () => number;
}

/** Limits the sends of one entry to its share of the targets' rate limits. */
export interface SendPacer {
  /** Replaces the entries that send to the same targets, this one included. */
  readonly setSenders: (senders: readonly SendingEntry[]) => void;
  /** Whether one more request may be sent to a target. */
  readonly maySend: (target: TargetIdentity, now: MonotonicInstant) => boolean;
  /** Counts a request that is sent. */
  readonly recordSend: (target: TargetIdentity, now: MonotonicInstant) => void;
}

interface Bucket {
  sends: number;
  filledAt: MonotonicInstant;
}

/**
 * Creates the pacer.
 *
 * A small limit is shared by few entries, which all entries select alike. Each
 * sharing entry may send one request at any time, so with an equal share for
 * all, hundreds of entries would send hundreds at once for a limit of one per
 * second.
 */
export function createSendPacer(options: SendPacerOptions): SendPacer {
  const {self} = options;
  const buckets = new Map<TargetIncarnation, Bucket>();
  const ranks = new Map<TargetIncarnation, number>();
  let senders: readonly SendingEntry[] = [self];

  /** Returns this entry's share in sends per second; undefined if unlimited. */
  function shareOf(key: TargetIncarnation): number | undefined {
    const limit = options.rateOf(key);
    if (limit === undefined) return undefined;
    const rate = Math.max(limit, MIN_RATE);
    const sharing = Math.min(senders.length, 1 + Math.floor(rate));
    if (rankOf(key) >= sharing) return 0;
    return (rate * options.knownShare()) / sharing;
  }

  /** Returns the number of entries selected for a target before this one. */
  function rankOf(key: TargetIncarnation): number {
    const known = ranks.get(key);
    if (known !== undefined) return known;
    const own = weightOf(key, self);
    const rank = senders.filter(sender => weightOf(key, sender) < own).length;
    ranks.set(key, rank);
    return rank;
  }

  function forget(key: TargetIncarnation): void {
    buckets.delete(key);
    ranks.delete(key);
  }

  function bucketOf(
    key: TargetIncarnation,
    share: number,
    now: MonotonicInstant,
  ): Bucket {
    const bucket = buckets.get(key) ?? {sends: 0, filledAt: now};
    const maxSends = Math.max(1, share * MAX_BURST_SECONDS);
    const refill = (share * (now - bucket.filledAt)) / SECOND;
    bucket.sends = Math.min(maxSends, bucket.sends + refill);
    bucket.filledAt = now;
    buckets.set(key, bucket);
    const [oldest] = buckets.keys();
    if (buckets.size > MAX_TARGETS && oldest !== undefined) forget(oldest);
    return bucket;
  }

  function maySend(target: TargetIdentity, now: MonotonicInstant): boolean {
    const key = targetIncarnationKey(target);
    const share = shareOf(key);
    if (share !== undefined) return bucketOf(key, share, now).sends >= 1;
    forget(key);
    return true;
  }

  return {
    setSenders: next => {
      senders = next;
      ranks.clear();
    },
    maySend,
    recordSend: (target, now) => {
      const key = targetIncarnationKey(target);
      const share = shareOf(key);
      if (share !== undefined) bucketOf(key, share, now).sends -= 1;
    },
  };
}

function weightOf(key: TargetIncarnation, {instance}: SendingEntry): number {
  return hash32(`${key} ${instance}`);
}
