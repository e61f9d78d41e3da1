import type {Bytes, BytesPerSecond, MonotonicInstant} from '@hibiscusbeam/core';
import type {Clock} from '../shared/clock';

const MILLISECONDS_PER_SECOND = 1_000;

/** Time by which sending may catch up after a late timer. */
const MAX_BURST_MS = 20;

/** Limits the total byte rate of all senders. */
export interface Pacer {
  /** Resolves when `amount` more bytes may be sent, in order of the calls. */
  readonly take: (amount: Bytes) => Promise<void>;
  /** `null` removes the limit. */
  readonly setRate: (rate: BytesPerSecond | null) => void;
}

/** Creates a token bucket for a link that all transfers share. */
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
