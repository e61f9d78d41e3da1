import {hash32} from '@hibiscusbeam/core';
import type {Milliseconds, VersionDigest} from '@hibiscusbeam/core';
import type {Clock} from '../shared/clock';

const PREFIX_LENGTH = 256;

/** Events kept for readers that come late. */
const MAX_EVENTS = 10_000;

/** What happened to a prefix; published late and with gaps. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: 'stored' | 'evicted';
  readonly prefix: number;
}

/** A cache of prompt prefixes; the least recently used one goes first. */
export interface PrefixCache {
  /** Uses the prompt's prefix, storing it; true if it was there. */
  readonly use: (versionDigest: VersionDigest, prompt: string) => boolean;
  /** Drops what belongs to a version that is unloaded. */
  readonly evictVersion: (versionDigest: VersionDigest) => void;
  readonly eventsAfter: (sequence: number) => {
    readonly events: readonly CacheEvent[];
    readonly latest: number;
  };
  readonly setLag: (lag: Milliseconds) => void;
  /** Every nth event is never published; 0 publishes all. */
  readonly setGapEvery: (count: number) => void;
}

/** The hash that stands for a prompt's beginning in cache events. */
export function hashPrefix(prompt: string): number {
  return hash32(prompt.slice(0, PREFIX_LENGTH));
}

/** An empty cache for `capacity` prefixes. */
export function createPrefixCache(clock: Clock, capacity: number): PrefixCache {
  const entries = new Map<
    string,
    {readonly versionDigest: VersionDigest; readonly prefix: number}
  >();
  let events: {readonly at: number; readonly event: CacheEvent}[] = [];
  let latestSequence = 0;
  let lag: Milliseconds = 0;
  let gapEvery = 0;

  function publish(kind: CacheEvent['kind'], prefix: number): void {
    latestSequence += 1;
    if (gapEvery > 0 && latestSequence % gapEvery === 0) return;
    const event = {sequence: latestSequence, kind, prefix};
    events.push({at: clock.now(), event});
    if (events.length > 2 * MAX_EVENTS) events = events.slice(-MAX_EVENTS);
  }

  function evictEntry(key: string): void {
    const entry = entries.get(key);
    if (entry === undefined) return;
    entries.delete(key);
    publish('evicted', entry.prefix);
  }

  return {
    use: (versionDigest, prompt) => {
      const prefix = hashPrefix(prompt);
      const key = `${versionDigest}/${prefix}`;
      const hit = entries.delete(key);
      entries.set(key, {versionDigest, prefix});
      if (!hit) publish('stored', prefix);
      const [oldest] = entries.keys();
      if (entries.size > capacity && oldest !== undefined) evictEntry(oldest);
      return hit;
    },
    evictVersion: versionDigest => {
      for (const [key, entry] of [...entries]) {
        if (entry.versionDigest === versionDigest) evictEntry(key);
      }
    },
    eventsAfter: sequence => {
      const visibleUntil = clock.now() - lag;
      const visible = events.filter(entry => entry.at <= visibleUntil);
      return {
        events: visible
          .map(entry => entry.event)
          .filter(event => event.sequence > sequence),
        latest: visible.at(-1)?.event.sequence ?? 0,
      };
    },
    setLag: value => {
      lag = value;
    },
    setGapEvery: value => {
      gapEvery = value;
    },
  };
}
