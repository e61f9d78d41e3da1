import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';

/**
 * What a link may carry at once after a pause, as time at its rate; more than
 * a timer is late on a busy machine, and less than one chunk takes.
 */
const BURST_MILLISECONDS = 50;

/** A link of limited rate, shared by all who take from it. */
export interface Link {
  /** Waits until the link has carried `bytes` more. */
  readonly take: (bytes: number) => Promise<void>;
  /** Carries nothing for so long, in milliseconds. */
  readonly freeze: (time: number) => void;
}

/** Creates a link as a token bucket of `bytesPerSecond`. */
export function createLink(bytesPerSecond: number): Link {
  let freeAt = 0;
  return {
    async take(bytes) {
      const now = performance.now();
      const start = Math.max(now - BURST_MILLISECONDS, freeAt);
      freeAt = start + (bytes * 1000) / bytesPerSecond;
      if (freeAt > now) await sleep(freeAt - now);
    },
    freeze(time) {
      freeAt = performance.now() + time;
    },
  };
}
