import type {Milliseconds, StoreClock} from '@hibiscusbeam/core';
import type {Clock} from '@hibiscusbeam/daemon';
import type {Result} from 'ts-results';
import type {HostError, StoreReading} from '../ports';
import {requestWithHedge} from './hedged_request';

/** Time after which the answer to a read of a small table is late. */
const HEDGE_DELAY: Milliseconds = 1_000;

/** Timeout of the next bytes of such a read, over a link that may be full. */
const PROGRESS_TIMEOUT: Milliseconds = 2_500;

/** Reads a whole table within a timeout. */
export type WholeRead<Reading> = (
  timeout: Milliseconds,
) => Promise<Result<Reading, HostError>>;

/**
 * Reads a small table that a starting process waits for. A late answer may be
 * lost or still on its way; it is requested again, and the first one counts.
 */
export function readSmallTable<Reading>(
  read: WholeRead<Reading>,
): Promise<Result<Reading, HostError>> {
  const attempt = () => read(PROGRESS_TIMEOUT);
  return requestWithHedge({
    first: attempt,
    hedge: attempt,
    hedgeDelay: HEDGE_DELAY,
    isHedgeWanted: () => true,
  });
}

/** Wraps a read so that its answers also relate the store's clock to `clock`. */
export function timedRead<Reading extends StoreReading>(
  read: WholeRead<Reading>,
  storeClock: StoreClock,
  clock: Clock,
): WholeRead<Reading> {
  return async timeout => {
    const askedAt = clock();
    const reply = await read(timeout);
    if (reply.err) return reply;
    const {storeTime} = reply.val;
    storeClock.record({askedAt, answeredAt: clock(), storeTime});
    return reply;
  };
}
