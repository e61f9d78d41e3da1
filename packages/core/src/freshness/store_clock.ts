import type {Milliseconds, MonotonicInstant} from '../types';

/** A question to the store and its answer's time by the store's clock. */
export interface StoreExchange {
  /** When the question left here. */
  readonly askedAt: MonotonicInstant;
  /** When the answer came. */
  readonly answeredAt: MonotonicInstant;
  /** The store's own steady clock when it answered. */
  readonly storeTime: Milliseconds;
}

/** Tells when the store's clock surely showed a time, by the clock here. */
export interface StoreClock {
  readonly record: (exchange: StoreExchange) => void;
  /**
   * The latest moment here that was surely not after the store's clock showed
   * `storeTime`; undefined before anything was recorded.
   */
  readonly localTimeLowerBound: (
    storeTime: Milliseconds,
  ) => MonotonicInstant | undefined;
  /** The store time of which `notAfter` gives `at`. */
  readonly storeTimeAt: (at: MonotonicInstant) => Milliseconds | undefined;
}

/**
 * Creates the clock.
 *
 * A long poll is answered long after it was asked, an answer may be held up on
 * its way, and may come through another process: none of these says when the
 * store looked. The store's clock does: a past exchange whose question left here
 * at `a` and was answered at store time `s` shows that store time `s` was not
 * before `a`. So what the store answered at `t` was so at `a + (t - s)` or later.
 */
export function createStoreClock(): StoreClock {
  let clockOffset: MonotonicInstant | undefined;
  let newest: StoreExchange | undefined;

  /**
   * Failure: a store that restarted its clock would make old anchors claim a
   * moment that has not come. Such a clock goes back from an answer to a question
   * that was asked after it; questions that overlap are answered in any order.
   */
  function hasRestarted({askedAt, storeTime}: StoreExchange): boolean {
    if (newest === undefined || storeTime >= newest.storeTime) return false;
    return askedAt >= newest.answeredAt;
  }

  return {
    record: exchange => {
      const {askedAt, storeTime} = exchange;
      if (hasRestarted(exchange)) {
        clockOffset = undefined;
        newest = undefined;
      }
      if (newest === undefined || storeTime >= newest.storeTime) {
        newest = exchange;
      }
      clockOffset = Math.max(clockOffset ?? -Infinity, askedAt - storeTime);
    },
    localTimeLowerBound: storeTime =>
      clockOffset === undefined ? undefined : clockOffset + storeTime,
    storeTimeAt: at =>
      clockOffset === undefined ? undefined : at - clockOffset,
  };
}
