import type {Milliseconds, MonotonicInstant} from '../types';
import {
  createStoreClock,
  type StoreClock,
  type StoreExchange,
} from './store_clock';

/** A store's answer that another process received and relayed. */
export interface RelayedReply {
  /** When it arrived at this process. */
  readonly receivedAt: MonotonicInstant;
  /** The store's monotonic clock when it answered. */
  readonly storeTime: Milliseconds;
}

/** Tracks until when the held configuration is known to be the newest. */
export interface Confirmation {
  readonly record: (exchange: StoreExchange) => void;
  /**
   * Records an answer to another process; has no effect before the first own
   * exchange.
   */
  readonly recordRelayed: (reply: RelayedReply) => void;
  /** Records that another process has confirmed the configuration at `at`. */
  readonly recordAt: (at: MonotonicInstant) => void;
  /** Latest time at which the configuration is known to have been in force. */
  readonly confirmedAt: () => MonotonicInstant | undefined;
  readonly isFresh: (now: MonotonicInstant, bound: Milliseconds) => boolean;
}

/** Creates a tracker of confirmations, based on the store's clock. */
export function createConfirmation(
  storeClock: StoreClock = createStoreClock(),
): Confirmation {
  let confirmedAt: MonotonicInstant | undefined;

  const advanceTo = (at: MonotonicInstant): void => {
    confirmedAt = Math.max(confirmedAt ?? at, at);
  };

  function advanceToStoreTime(
    storeTime: Milliseconds,
    receivedAt: MonotonicInstant,
  ): void {
    const validAt = storeClock.localTimeLowerBound(storeTime);
    if (validAt !== undefined) advanceTo(Math.min(receivedAt, validAt));
  }

  return {
    record: exchange => {
      storeClock.record(exchange);
      advanceToStoreTime(exchange.storeTime, exchange.answeredAt);
    },
    recordRelayed: ({receivedAt, storeTime}) =>
      advanceToStoreTime(storeTime, receivedAt),
    recordAt: advanceTo,
    confirmedAt: () => confirmedAt,
    isFresh: (now, bound) =>
      confirmedAt !== undefined && now - confirmedAt < bound,
  };
}
