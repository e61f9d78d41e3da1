import type {EngineClient} from '../targets/types';

/** Max prefixes in a heartbeat; the newest ones are sent. */
const MAX_REPORTED_PREFIXES = 16;

/** More than an engine's cache holds. */
const MAX_REMEMBERED_PREFIXES = 512;

/** Prefixes that the engine's prompt cache probably holds; hints only. */
export interface CachedPrefixes {
  readonly refresh: () => Promise<void>;
  /** The prefixes stored last, at most as many as a heartbeat carries. */
  readonly newest: () => readonly number[];
}

/**
 * Follows the engine's cache events, which arrive late and with gaps. After a
 * gap, all remembered prefixes are dropped, as the engine may have evicted
 * them.
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
