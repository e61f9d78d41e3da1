import {createStoreClock} from '@hibiscusbeam/core';
import {Err, Ok, type Result} from 'ts-results';
import {afterEach, beforeEach, expect, test, vi} from 'vitest';
import {
  readSmallTable,
  timedRead,
} from '../../packages/fleet/src/link/first_read';
import type {HostError} from '../../packages/fleet/src/ports';

const LOST: HostError = {kind: 'noAnswer', progress: 'underWay', detail: ''};

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

/** A store that answers each read after the next of `delays`; undefined: never. */
function startReads(delays: readonly (number | undefined)[]) {
  let reads = 0;
  const startedAt = Date.now();
  let answeredAfter: number | undefined;
  const read = async (timeout: number): Promise<Result<number, HostError>> => {
    const delay = delays[reads];
    reads += 1;
    const isLost = delay === undefined || delay > timeout;
    const wait = isLost ? timeout : delay;
    await new Promise(resolve => setTimeout(resolve, wait));
    return isLost ? Err(LOST) : Ok(1);
  };
  const reply = readSmallTable(read).then(result => {
    answeredAfter = Date.now() - startedAt;
    return result;
  });
  return {reply, reads: () => reads, answeredAfter: () => answeredAfter};
}

// Reads given up after a second were repeated for ten seconds over a full link.
test('a small table whose answer is late over a full link is not given up', async () => {
  const site = startReads([2_000, undefined]);
  await vi.advanceTimersByTimeAsync(5_000);
  expect((await site.reply).ok).toBe(true);
  expect(site.answeredAfter()).toBe(2_000);
});

test('a small table whose answer is lost is asked for again after a second', async () => {
  const site = startReads([undefined, 10]);
  await vi.advanceTimersByTimeAsync(5_000);
  expect((await site.reply).ok).toBe(true);
  expect(site.answeredAfter()).toBeLessThan(1_100);
});

test('a small table that is answered in time is read once', async () => {
  const site = startReads([10]);
  await vi.advanceTimersByTimeAsync(5_000);
  expect((await site.reply).ok).toBe(true);
  expect(site.reads()).toBe(1);
});

test('a timed read dates the readings that a relay sends', async () => {
  const storeClock = createStoreClock();
  const reading = {revision: 1, era: 0, storeTime: 9_000, unusable: []};
  const read = timedRead(
    () => Promise.resolve(Ok(reading)),
    storeClock,
    () => 100,
  );
  expect(storeClock.localTimeLowerBound(9_500)).toBeUndefined();
  await read(1_000);
  expect(storeClock.localTimeLowerBound(9_500)).toBe(600);
});
