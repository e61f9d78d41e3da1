import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';

/** A network link of limited rate, shared by all transfers over it. */
export interface Link {
  /** Waits until the link has transferred another `bytes` bytes. */
  readonly transfer: (bytes: number) => Promise<void>;
  /** Stops all transfers for `time` milliseconds. */
  readonly freeze: (time: number) => void;
  readonly isFrozen: () => boolean;
}

/**
 * Creates a link as a token bucket. After a pause it transfers `burstBytes`
 * without delay, which also compensates for timers that fire tens of
 * milliseconds late on a busy machine.
 */
export function createLink(bytesPerSecond: number, burstBytes: number): Link {
  const burst = (burstBytes * 1000) / bytesPerSecond;
  let freeAt = 0;
  let frozenUntil = 0;
  return {
    async transfer(bytes) {
      const now = performance.now();
      const start = Math.max(now - burst, freeAt);
      freeAt = start + (bytes * 1000) / bytesPerSecond;
      if (freeAt > now) await sleep(freeAt - now);
    },
    freeze(time) {
      frozenUntil = performance.now() + time;
      freeAt = frozenUntil;
    },
    isFrozen: () => performance.now() < frozenUntil,
  };
}
