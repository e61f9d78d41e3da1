import type {Milliseconds} from '@hibiscusbeam/core';
import type {Clock} from './clock';

const MILLISECONDS_PER_SECOND = 1_000;

/** Refuses calls above a rate. */
export interface RateLimit {
  /** Admits one call and returns 0, or the milliseconds to wait if refused. */
  readonly take: () => Milliseconds;
  readonly setRate: (callsPerSecond: number) => void;
}

/**
 * Creates a token bucket that holds one second's calls, as table services do.
 */
export function createRateLimit(clock: Clock, initialRate: number): RateLimit {
  let rate = initialRate;
  let tokens = capacity();
  let refilledAt = clock.now();

  /** At least 1, since a rate below one per second must still admit calls. */
  function capacity(): number {
    return Math.max(1, rate);
  }

  function refill(): void {
    const now = clock.now();
    const addedTokens = ((now - refilledAt) * rate) / MILLISECONDS_PER_SECOND;
    tokens = Math.min(capacity(), tokens + addedTokens);
    refilledAt = now;
  }

  return {
    take: () => {
      refill();
      if (tokens >= 1) {
        tokens -= 1;
        return 0;
      }
      return Math.ceil(((1 - tokens) * MILLISECONDS_PER_SECOND) / rate);
    },
    setRate: newRate => {
      refill();
      rate = newRate;
      tokens = Math.min(tokens, capacity());
    },
  };
}
