import type {Milliseconds} from '@hibiscusbeam/core';
import {createCheckedClient, monotonicClock} from '@hibiscusbeam/daemon';
import {buildConnector, errors, type Dispatcher} from 'undici';

/**
 * Multiple of the connect time after which silence is not due to a saturated
 * link.
 */
const SILENCE_FACTOR = 10;

/** A connection for one call. */
export interface SingleConnection {
  readonly dispatcher: Dispatcher;
  readonly isOpen: () => boolean;
  /** Whether it could not be opened in time. */
  readonly hasTimedOut: () => boolean;
  /**
   * Whether an answer that the server may delay for `heldFor` should have
   * arrived by now.
   */
  readonly isSilent: (heldFor: Milliseconds) => boolean;
  readonly close: () => void;
}

/**
 * Creates a connection to `address` (`IP:port`), which is opened by the first
 * call over it.
 */
export function openSingleConnection(
  address: string,
  timeout: Milliseconds,
): SingleConnection {
  const connect = buildConnector({timeout});
  let connectingAt: Milliseconds | undefined;
  let openedAt: Milliseconds | undefined;
  let hasTimedOut = false;

  const client = createCheckedClient(`http://${address}`, {
    connect: (options, callback) => {
      connectingAt = monotonicClock();
      connect(options, (...outcome) => {
        const [error] = outcome;
        if (error === null) openedAt = monotonicClock();
        else hasTimedOut = error instanceof errors.ConnectTimeoutError;
        callback(...outcome);
      });
    },
  });

  function isSilent(heldFor: Milliseconds): boolean {
    if (connectingAt === undefined || openedAt === undefined) return false;
    const connectTime = openedAt - connectingAt;
    const waited = monotonicClock() - openedAt - heldFor;
    return waited >= connectTime * SILENCE_FACTOR;
  }

  return {
    dispatcher: client,
    isOpen: () => openedAt !== undefined,
    hasTimedOut: () => hasTimedOut,
    isSilent,
    close: () => void client.destroy(),
  };
}
