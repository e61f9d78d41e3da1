import {hash32} from '../utils/hash';
import type {MonotonicInstant, TargetLife} from '../types';
import {nameOfLife, type LivingTarget} from './target_life';
import type {SendingEntry} from './types';

const SECOND = 1_000;

/** Least rate at which a target is asked, so that its limit's end shows. */
const LEAST_RATE = 0.25;

/** Sends that an entry may save up, in seconds of its part; one at least. */
const MOST_SAVED_SECONDS = 0.25;

/** Targets whose sends are counted; an entry sends to fewer at a time. */
const MOST_TARGETS = 1_000;

/** What pacing the sends of one entry needs. */
export interface PacedSendsOptions {
  readonly self: SendingEntry;
  /** The limit that a target names, for all entries together. */
  readonly rateOf: (life: TargetLife) => number | undefined;
  /**
   * Part of the site that the known senders are, 0 to 1. An entry that is cut off
   * from others takes no more than its own part of a limit.
   */
  readonly knownPart: () => number;
}

/** Keeps the sends of one entry to its part of what targets name. */
export interface PacedSends {
  /** Replaces the entries that send to the same targets, this one included. */
  readonly setSenders: (senders: readonly SendingEntry[]) => void;
  /** Whether one more request may be sent to a target. */
  readonly maySend: (target: LivingTarget, now: MonotonicInstant) => boolean;
  /** Counts a request that is sent. */
  readonly noteSend: (target: LivingTarget, now: MonotonicInstant) => void;
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
export function createPacedSends(options: PacedSendsOptions): PacedSends {
  const {self} = options;
  const buckets = new Map<TargetLife, Bucket>();
  const ranks = new Map<TargetLife, number>();
  let senders: readonly SendingEntry[] = [self];

  /** This entry's part in sends a second; undefined without a limit. */
  function partOf(life: TargetLife): number | undefined {
    const named = options.rateOf(life);
    if (named === undefined) return undefined;
    const rate = Math.max(named, LEAST_RATE);
    const sharing = Math.min(senders.length, 1 + Math.floor(rate));
    if (rankOf(life) >= sharing) return 0;
    return (rate * options.knownPart()) / sharing;
  }

  /** Entries that are asked before this one to send to a target. */
  function rankOf(life: TargetLife): number {
    const known = ranks.get(life);
    if (known !== undefined) return known;
    const own = weightOf(life, self);
    const rank = senders.filter(sender => weightOf(life, sender) < own).length;
    ranks.set(life, rank);
    return rank;
  }

  function forget(life: TargetLife): void {
    buckets.delete(life);
    ranks.delete(life);
  }

  function bucketOf(
    life: TargetLife,
    part: number,
    now: MonotonicInstant,
  ): Bucket {
    const bucket = buckets.get(life) ?? {sends: 0, filledAt: now};
    const most = Math.max(1, part * MOST_SAVED_SECONDS);
    const gained = (part * (now - bucket.filledAt)) / SECOND;
    bucket.sends = Math.min(most, bucket.sends + gained);
    bucket.filledAt = now;
    buckets.set(life, bucket);
    const [oldest] = buckets.keys();
    if (buckets.size > MOST_TARGETS && oldest !== undefined) forget(oldest);
    return bucket;
  }

  function maySend(target: LivingTarget, now: MonotonicInstant): boolean {
    const life = nameOfLife(target);
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
    noteSend: (target, now) => {
      const life = nameOfLife(target);
      const part = partOf(life);
      if (part !== undefined) bucketOf(life, part, now).sends -= 1;
    },
  };
}

function weightOf(life: TargetLife, {instance}: SendingEntry): number {
  return hash32(`${life} ${instance}`);
}
