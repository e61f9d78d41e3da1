import type {Milliseconds, MonotonicInstant} from '../types';

/** A request to the store, with the time of its answer by the store's clock. */
export interface StoreExchange {
  /** When the request was sent, by the local clock. */
  readonly askedAt: MonotonicInstant;
  /** When the answer arrived, by the local clock. */
  readonly answeredAt: MonotonicInstant;
  /** The store's monotonic clock when it answered. */
  readonly storeTime: Milliseconds;
}

/** Converts times between the store's clock and the local one. */
export interface StoreClock {
  readonly record: (exchange: StoreExchange) => void;
  /**
   * Latest local time that is known not to be after the store's clock showed
   * `storeTime`; undefined before anything was recorded.
   */
  readonly localTimeLowerBound: (
    storeTime: Milliseconds,
  ) => MonotonicInstant | undefined;
  /** Store time for which `localTimeLowerBound` returns `at`. */
  readonly storeTimeAt: (at: MonotonicInstant) => Milliseconds | undefined;
}

/**
 * Creates a clock without any recorded exchange.
 *
 * The time at which an answer arrives does not show when the store read its
 * data: a long poll is answered long after it was sent, and an answer may be
 * delayed or relayed by another process. The store's clock does show it. If a
 * past request was sent here at `a` and answered at store time `s`, then store
 * time `s` was not before `a`. So what the store answered at `t` was true at `a
 * + (t - s)` or later.
 */
export function createStoreClock(): StoreClock {
  let clockOffset: MonotonicInstant | undefined;
  let newest: StoreExchange | undefined;

  /**
   * Detects that the store has restarted its clock, which would make old
   * offsets yield times in the future. A restarted clock goes back from an
   * answer to a request that was sent after that answer; overlapping requests
   * may be answered in any order.
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
