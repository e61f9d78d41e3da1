import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';

/** A link of limited rate, shared by all who take from it. */
export interface Link {
  /** Waits until the link has carried `bytes` more. */
  readonly transfer: (bytes: number) => Promise<void>;
  /** Carries nothing for so long, in milliseconds. */
  readonly freeze: (time: number) => void;
  readonly isFrozen: () => boolean;
}

/**
 * Creates a link as a token bucket. `burstBytes` is what it may carry at once
 * after a pause; it also makes up for the timers of a busy machine, which are
 * late by tens of milliseconds.
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
