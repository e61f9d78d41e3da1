import {
  createStoreClock,
  createTargetBook,
  type ListedTarget,
} from '@hibiscusbeam/core';
import type {Log} from '@hibiscusbeam/daemon';
import type {TargetReading} from '@hibiscusbeam/fleet';
import {Err, Ok} from 'ts-results';
import {afterEach, beforeEach, expect, test, vi} from 'vitest';
import {startTargetFollower} from '../../packages/fleet/src/entry/target_follower';

const DRAINING = 3_000;

const log = {info: () => undefined, warn: () => undefined} as unknown as Log;

let stopped: AbortController;

beforeEach(() => {
  stopped = new AbortController();
  vi.useFakeTimers();
});

afterEach(() => {
  stopped.abort();
  vi.useRealTimers();
});

function targetAt(leaving: boolean): ListedTarget {
  return {
    instance: 'one',
    born: undefined,
    service: 'plain',
    address: 'one:1',
    zone: 'north',
    slots: 4,
    leaving,
    held: undefined,
  };
}

/**
 * A store whose answers take `delay`, with a target that leaves at `leavesAt`;
 * `losesNext` says whether the next answer after that is lost.
 */
function startFollower(delay: number, leavesAt: number, losesNext = false) {
  const now = () => Date.now();
  const startedAt = now();
  const book = createTargetBook({instance: 'entry', zone: 'north'});
  let losesLeft = losesNext;
  const read = async (timeout: number) => {
    const leaving = now() - startedAt >= leavesAt;
    const isLost = leaving && losesLeft;
    if (isLost) losesLeft = false;
    await new Promise(resolve => setTimeout(resolve, Math.min(delay, timeout)));
    if (delay > timeout || isLost) {
      return Err({kind: 'noAnswer' as const, detail: ''});
    }
    const reading: TargetReading = {
      revision: leaving ? 2 : 1,
      storeTime: 0,
      unusable: [],
      targets: [targetAt(leaving)],
    };
    return Ok(reading);
  };
  startTargetFollower(
    {
      list: {read},
      book,
      clock: now,
      machineClock: now,
      storeClock: createStoreClock(),
      readsStore: () => true,
      onListing: () => undefined,
      spread: 0,
      log,
      draining: DRAINING,
      heartbeat: 1_200,
      onChange: () => undefined,
      isConfigured: () => true,
    },
    stopped.signal,
  );
  const isChosen = () =>
    book.choose({
      service: 'plain',
      model: undefined,
      leastVersion: undefined,
      leastFarVersion: undefined,
      expectedRun: 0,
      tried: new Set(),
      now: now(),
    }).kind === 'chosen';
  return {isChosen};
}

// The links to the store are choked, and its answers come more than a second
// late. A target leaves; requests must not reach it after the draining bound.
test('knows of a leaving target in time though answers are late', async () => {
  for (const leavesAt of [5_100, 5_700, 6_400, 7_100]) {
    const {isChosen} = startFollower(1_400, leavesAt);
    await vi.advanceTimersByTimeAsync(leavesAt);
    expect(isChosen()).toBe(true);
    await vi.advanceTimersByTimeAsync(DRAINING);
    expect(isChosen()).toBe(false);
  }
});

// A target leaves, the first answer of the store after that is lost, and the
// next one takes a second. A request reached the target 0.1 s after its bound.
test('knows of a leaving target in time though an answer is lost', async () => {
  for (const leavesAt of [5_100, 5_500, 6_000, 6_300]) {
    const {isChosen} = startFollower(1_000, leavesAt, true);
    await vi.advanceTimersByTimeAsync(leavesAt + DRAINING);
    expect(isChosen()).toBe(false);
  }
});

test('sends to a target that stays', async () => {
  const {isChosen} = startFollower(5, Infinity);
  await vi.advanceTimersByTimeAsync(10 * DRAINING);
  expect(isChosen()).toBe(true);
});
