import type {Bytes, BytesPerSecond, MonotonicInstant} from '@hibiscusbeam/core';
import type {Clock} from '../shared/clock';

const SECOND = 1_000;

/** A late timer may be made up for by sending this much early, in ms. */
const BURST = 20;

/** Shares one byte rate among all that send. */
export interface Pacer {
  /** Resolves when `amount` more bytes may be sent; first come, first served. */
  readonly take: (amount: Bytes) => Promise<void>;
  /** `null` lifts the limit. */
  readonly setRate: (rate: BytesPerSecond | null) => void;
}

/** A token bucket over the link that all transfers share. */
export function createPacer(
  clock: Clock,
  initialRate: BytesPerSecond | null,
): Pacer {
  let rate = initialRate;
  let freeAt: MonotonicInstant = clock.now();

  return {
    take: async amount => {
      if (rate === null) return;
      const now = clock.now();
      freeAt = Math.max(freeAt, now - BURST) + (amount * SECOND) / rate;
      if (freeAt > now) await clock.wait(freeAt - now);
    },
    setRate: newRate => {
      rate = newRate;
      freeAt = Math.min(freeAt, clock.now());
    },
  };
}
