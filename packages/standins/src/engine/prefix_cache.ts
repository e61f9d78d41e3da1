import {hash32} from '@hibiscusbeam/core';
import type {Milliseconds, VersionDigest} from '@hibiscusbeam/core';
import type {Clock} from '../shared/clock';

const PREFIX_LENGTH = 256;

/** Latest events kept for late readers. */
const KEPT_EVENTS = 10_000;

/** A change of the cache; published with the lag and the gaps that are set. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: 'stored' | 'evicted';
  readonly prefix: number;
}

/** A cache of prompt prefixes that evicts the least recently used one. */
export interface PrefixCache {
  /** Looks up and stores the prompt's prefix; true if it was cached. */
  readonly use: (versionDigest: VersionDigest, prompt: string) => boolean;
  /** Evicts all prefixes of an unloaded version. */
  readonly evictVersion: (versionDigest: VersionDigest) => void;
  readonly eventsAfter: (sequence: number) => {
    readonly events: readonly CacheEvent[];
    readonly latest: number;
  };
  readonly setLag: (lag: Milliseconds) => void;
  /** Omits every `count`th event; 0 publishes all. */
  readonly setGapEvery: (count: number) => void;
}

/** Hash of a prompt's prefix, as in cache events. */
export function hashPrefix(prompt: string): number {
  return hash32(prompt.slice(0, PREFIX_LENGTH));
}

/** Creates an empty cache for `capacity` prefixes. */
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
    if (events.length > 2 * KEPT_EVENTS) events = events.slice(-KEPT_EVENTS);
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
