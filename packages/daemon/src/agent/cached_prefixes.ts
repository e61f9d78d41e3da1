import type {EngineClient} from '../targets/types';

/** Prefixes named in a heartbeat at most; the newest ones. */
const MAX_REPORTED_PREFIXES = 16;

/** Prefixes remembered at most; more than an engine's cache holds. */
const MAX_REMEMBERED_PREFIXES = 512;

/** What the engine's prompt cache probably holds; hints only. */
export interface CachedPrefixes {
  readonly refresh: () => Promise<void>;
  /** The prefixes that were stored last, at most as many as a heartbeat has. */
  readonly newest: () => readonly number[];
}

/**
 * Follows the engine's cache events. They come late and with gaps: after a gap
 * what was remembered may be evicted already, so it is dropped.
 */
export function createCachedPrefixes(engine: EngineClient): CachedPrefixes {
  const prefixes = new Set<number>();
  let latest = 0;
  return {
    refresh: async () => {
      const reply = await engine.cacheEvents(latest);
      if (reply.err) return;
      for (const {sequence, kind, prefix} of reply.val.events) {
        if (sequence <= latest) continue;
        if (sequence !== latest + 1) prefixes.clear();
        latest = sequence;
        prefixes.delete(prefix);
        if (kind === 'stored') prefixes.add(prefix);
      }
      for (const oldest of prefixes) {
        if (prefixes.size <= MAX_REMEMBERED_PREFIXES) break;
        prefixes.delete(oldest);
      }
    },
    newest: () => [...prefixes].slice(-MAX_REPORTED_PREFIXES),
  };
}
