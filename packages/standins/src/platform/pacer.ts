import type {Bytes, BytesPerSecond, MonotonicInstant} from '@hibiscusbeam/core';
import type {Clock} from '../shared/clock';

const MILLISECONDS_PER_SECOND = 1_000;

/** A late timer may be made up for by sending this much early, in ms. */
const MAX_BURST_MS = 20;

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
  let nextSendAt: MonotonicInstant = clock.now();

  return {
    take: async amount => {
      if (rate === null) return;
      const now = clock.now();
      nextSendAt =
        Math.max(nextSendAt, now - MAX_BURST_MS) +
        (amount * MILLISECONDS_PER_SECOND) / rate;
      if (nextSendAt > now) await clock.wait(nextSendAt - now);
    },
    setRate: newRate => {
      rate = newRate;
      nextSendAt = Math.min(nextSendAt, clock.now());
    },
  };
}
