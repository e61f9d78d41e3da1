import {hash32} from '../utils/hash';
import type {MonotonicInstant, TargetIncarnation} from '../types';
import {targetIncarnationKey, type TargetIdentity} from './target_incarnation';
import type {SendingEntry} from './types';

const SECOND = 1_000;

/** Least rate at which a target is asked, so that its limit's end shows. */
const MIN_RATE = 0.25;

/** Sends that an entry may save up, in seconds of its part; one at least. */
const MAX_BURST_SECONDS = 0.25;

/** Targets whose sends are counted; an entry sends to fewer at a time. */
const MAX_TARGETS = 1_000;

/** What pacing the sends of one entry needs. */
export interface SendPacerOptions {
  readonly self: SendingEntry;
  /** The limit that a target names, for all entries together. */
  readonly rateOf: (life: TargetIncarnation) => number | undefined;
  /**
   * Part of the site that the known senders are, 0 to 1. An entry that is cut off
   * from others takes no more than its own part of a limit.
   */
  readonly knownShare: () => number;
}

/** Keeps the sends of one entry to its part of what targets name. */
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
 * Creates the pacing. Few entries share a small limit, chosen alike by all, since
 * each of them may send one request at any time: hundreds of entries with a part
 * of one a second would send hundreds at once.
 */
export function createSendPacer(options: SendPacerOptions): SendPacer {
  const {self} = options;
  const buckets = new Map<TargetIncarnation, Bucket>();
  const ranks = new Map<TargetIncarnation, number>();
  let senders: readonly SendingEntry[] = [self];

  /** This entry's part in sends a second; undefined without a limit. */
  function partOf(life: TargetIncarnation): number | undefined {
    const named = options.rateOf(life);
    if (named === undefined) return undefined;
    const rate = Math.max(named, MIN_RATE);
    const sharing = Math.min(senders.length, 1 + Math.floor(rate));
    if (rankOf(life) >= sharing) return 0;
    return (rate * options.knownShare()) / sharing;
  }

  /** Entries that are asked before this one to send to a target. */
  function rankOf(life: TargetIncarnation): number {
    const known = ranks.get(life);
    if (known !== undefined) return known;
    const own = weightOf(life, self);
    const rank = senders.filter(sender => weightOf(life, sender) < own).length;
    ranks.set(life, rank);
    return rank;
  }

  function forget(life: TargetIncarnation): void {
    buckets.delete(life);
    ranks.delete(life);
  }

  function bucketOf(
    life: TargetIncarnation,
    part: number,
    now: MonotonicInstant,
  ): Bucket {
    const bucket = buckets.get(life) ?? {sends: 0, filledAt: now};
    const most = Math.max(1, part * MAX_BURST_SECONDS);
    const gained = (part * (now - bucket.filledAt)) / SECOND;
    bucket.sends = Math.min(most, bucket.sends + gained);
    bucket.filledAt = now;
    buckets.set(life, bucket);
    const [oldest] = buckets.keys();
    if (buckets.size > MAX_TARGETS && oldest !== undefined) forget(oldest);
    return bucket;
  }

  function maySend(target: TargetIdentity, now: MonotonicInstant): boolean {
    const life = targetIncarnationKey(target);
    const part = partOf(life);
    if (part !== undefined) return bucketOf(life, part, now).sends >= 1;
    forget(life);
    return true;
  }

  return {
    setSenders: next => {
      senders = next;
      ranks.clear();
    },
    maySend,
    recordSend: (target, now) => {
      const life = targetIncarnationKey(target);
      const part = partOf(life);
      if (part !== undefined) bucketOf(life, part, now).sends -= 1;
    },
  };
}

function weightOf(life: TargetIncarnation, {instance}: SendingEntry): number {
  return hash32(`${life} ${instance}`);
}
