import {Err, Ok} from 'ts-results';
import {expect, test} from 'vitest';
import {runFeedLoop} from '../../packages/fleet/src/link/feed_loop';
import type {HostError, StoreReading} from '../../packages/fleet/src/ports';
import {errorFreeLog} from '../fixtures/error_free_log';

/** Runs a loop in which the second request fails; returns the requests. */
async function requestsAround(error: HostError): Promise<readonly unknown[]> {
  const stopped = new AbortController();
  const requests: unknown[] = [];
  const reading = (revision: number): StoreReading => ({
    revision,
    era: 0,
    storeTime: 0,
    unusable: [],
  });
  await runFeedLoop<StoreReading>(
    {
      name: 'table',
      log: errorFreeLog,
      readAll: async () => {
        requests.push('whole');
        if (requests.length > 2) stopped.abort();
        return Ok(reading(4));
      },
      follow: async after => {
        requests.push(after);
        if (requests.length === 2) return Err(error);
        stopped.abort();
        return Ok(reading(5));
      },
      onReading: () => undefined,
      pause: () => Promise.resolve(),
    },
    stopped.signal,
  );
  return requests;
}

// A table of 0.4 MB is read over a narrow link, and a request times out. When
// the whole table was read again each time, the link was saturated for all who
// share it, and three entries had no configuration for eight seconds.
test('after a failure, changes are requested from the last reading on', async () => {
  const requests = await requestsAround({
    kind: 'noAnswer',
    progress: 'underWay',
    detail: '',
  });
  expect(requests).toEqual(['whole', 4, 4]);
});

test('a table whose changes the store no longer knows is read whole', async () => {
  const requests = await requestsAround({kind: 'historyLost', detail: ''});
  expect(requests).toEqual(['whole', 4, 'whole']);
});

test('a store that knows no changes is queried after pauses, except after the first loss', async () => {
  const stopped = new AbortController();
  const pauses: number[] = [];
  let reads = 0;
  await runFeedLoop<StoreReading>(
    {
      name: 'table',
      log: errorFreeLog,
      readAll: () => {
        reads += 1;
        if (reads === 5) stopped.abort();
        const reading = {revision: 4, era: 0, storeTime: 0, unusable: []};
        return Promise.resolve(Ok(reading));
      },
      follow: () => Promise.resolve(Err({kind: 'historyLost', detail: ''})),
      onReading: () => undefined,
      pause: failures => {
        pauses.push(failures);
        return Promise.resolve();
      },
    },
    stopped.signal,
  );
  expect(pauses).toEqual([1, 2, 3]);
});

// A process would end, or follow the table no more.
test('a reading that can not be applied is requested again after a pause', async () => {
  const stopped = new AbortController();
  const requests: unknown[] = [];
  const errors: string[] = [];
  const reading = (revision: number): StoreReading => ({
    revision,
    era: 0,
    storeTime: 0,
    unusable: [],
  });
  let pauses = 0;
  await runFeedLoop<StoreReading>(
    {
      name: 'table',
      log: {...errorFreeLog, error: message => void errors.push(message)},
      readAll: () => Promise.resolve(Ok(reading(4))),
      follow: after => {
        requests.push(after);
        if (requests.length === 4) stopped.abort();
        return Promise.resolve(Ok(reading(5)));
      },
      onReading: ({revision}) => {
        if (revision === 5 && requests.length < 3) throw new Error('odd row');
      },
      pause: () => {
        pauses += 1;
        return Promise.resolve();
      },
    },
    stopped.signal,
  );
  expect(requests).toEqual([4, 4, 4, 5]);
  expect([pauses, errors]).toEqual([2, ['table not applied']]);
});
