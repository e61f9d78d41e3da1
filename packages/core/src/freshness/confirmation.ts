import type {Milliseconds, MonotonicInstant} from '../types';
import {
  createStoreClock,
  type StoreClock,
  type StoreExchange,
} from './store_clock';

/** An answer that another process has got and passed on. */
export interface RelayedReply {
  /** When it came here. */
  readonly receivedAt: MonotonicInstant;
  /** The store's own steady clock when it answered. */
  readonly storeTime: Milliseconds;
}

/** Knows until when the held configuration is surely the newest. */
export interface Confirmation {
  readonly record: (exchange: StoreExchange) => void;
  /** Takes an answer to another process; tells nothing before a first own one. */
  readonly recordRelayed: (reply: RelayedReply) => void;
  /** Takes over what another process has confirmed at `at`. */
  readonly recordAt: (at: MonotonicInstant) => void;
  /** The latest moment at which the configuration was surely in force. */
  readonly confirmedAt: () => MonotonicInstant | undefined;
  readonly isFresh: (now: MonotonicInstant, bound: Milliseconds) => boolean;
}

/** Creates the memory of confirmations, by the store's clock. */
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
