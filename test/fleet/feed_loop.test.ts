import type {Log} from '@hibiscusbeam/daemon';
import {Err, Ok} from 'ts-results';
import {expect, test} from 'vitest';
import {runFeedLoop} from '../../packages/fleet/src/link/feed_loop';
import type {HostError, StoreReading} from '../../packages/fleet/src/ports';

const log = {info: () => undefined, warn: () => undefined} as unknown as Log;

/** Plays a loop in which the second question fails; returns what was asked. */
async function requestsAround(error: HostError): Promise<readonly unknown[]> {
  const stopped = new AbortController();
  const asked: unknown[] = [];
  const reading = (revision: number): StoreReading => ({
    revision,
    era: 0,
    storeTime: 0,
    unusable: [],
  });
  await runFeedLoop<StoreReading>(
    {
      name: 'table',
      log,
      readAll: async () => {
        asked.push('whole');
        if (asked.length > 2) stopped.abort();
        return Ok(reading(4));
      },
      follow: async after => {
        asked.push(after);
        if (asked.length === 2) return Err(error);
        stopped.abort();
        return Ok(reading(5));
      },
      onReading: () => undefined,
      pause: () => Promise.resolve(),
    },
    stopped.signal,
  );
  return asked;
}

// A table of 0.4 MB comes over a narrow link, and an answer is given up. Read
// whole again each time, it filled the link for all who share it: three entries
// had no configuration for eight seconds.
test('a table is followed on from the last reading after a failure', async () => {
  const asked = await requestsAround({
    kind: 'noAnswer',
    progress: 'underWay',
    detail: '',
  });
  expect(asked).toEqual(['whole', 4, 4]);
});

test('a table whose changes the store no longer knows is read whole', async () => {
  const asked = await requestsAround({kind: 'historyLost', detail: ''});
  expect(asked).toEqual(['whole', 4, 'whole']);
});

test('a store that knows no changes is asked after pauses, but for the first loss', async () => {
  const stopped = new AbortController();
  const pauses: number[] = [];
  let reads = 0;
  await runFeedLoop<StoreReading>(
    {
      name: 'table',
      log,
      readAll: () => {
        reads += 1;
        if (reads === 5) stopped.abort();
        const moment = {revision: 4, era: 0, storeTime: 0, unusable: []};
        return Promise.resolve(Ok(moment));
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
