import {
  createStoreClock,
  createStoreAvailability,
  createStoreDistance,
  createTargetRegistry,
  type ListedTarget,
  type StoreClock,
} from '@hibiscusbeam/core';
import type {TargetReading} from '@hibiscusbeam/fleet';
import {Err, Ok} from 'ts-results';
import {afterEach, beforeEach, expect, test, vi} from 'vitest';
import {startTargetFollower} from '../../packages/fleet/src/entry/target_follower';
import {plainRequest, plainTarget} from '../fixtures/placement';
import {errorFreeLog} from '../fixtures/error_free_log';

const DRAINING = 3_000;

/** The store's clock is unrelated to the local one. */
const STORE_OFFSET = 777_000;

/** Interval at which a relay reads the list. */
const RELAY_PERIOD = 900;

let stopped: AbortController;

beforeEach(() => {
  stopped = new AbortController();
  vi.useFakeTimers();
});

afterEach(() => {
  stopped.abort();
  vi.useRealTimers();
});

const targetAt = (leaving: boolean) => plainTarget('one', {leaving});

/** Whether the entry reads the store, and whether the store is unavailable. */
interface StoreAccess {
  readonly readsStore?: () => boolean;
  readonly isAway?: () => boolean;
  readonly storeClock?: StoreClock;
}

/** The store's clock after an earlier read of another table. */
function knownStoreClock(): StoreClock {
  const storeClock = createStoreClock();
  const now = Date.now();
  storeClock.record({
    askedAt: now,
    answeredAt: now,
    storeTime: now + STORE_OFFSET,
  });
  return storeClock;
}

/**
 * A store whose answers take `delay`, with a target that leaves at `leavesAt`;
 * with `losesNext`, the next answer after that is lost.
 */
function startFollower(
  delay: number,
  leavesAt: number,
  losesNext = false,
  {
    readsStore = () => true,
    isAway = () => false,
    storeClock = knownStoreClock(),
  }: StoreAccess = {},
) {
  const now = () => Date.now();
  const startedAt = now();
  const registry = createTargetRegistry({instance: 'entry', zone: 'north'});
  let losesLeft = losesNext;
  let reads = 0;
  const read = async (timeout: number) => {
    reads += 1;
    const askedAt = now();
    const leaving = now() - startedAt >= leavesAt;
    const isLost = leaving && losesLeft;
    if (isLost) losesLeft = false;
    await new Promise(resolve => setTimeout(resolve, Math.min(delay, timeout)));
    if (delay > timeout || isLost || isAway()) {
      return Err({
        kind: 'noAnswer' as const,
        progress: isAway() ? ('broken' as const) : ('notConnected' as const),
        detail: '',
      });
    }
    const reading: TargetReading = {
      revision: leaving ? 2 : 1,
      era: 0,
      storeTime: askedAt + STORE_OFFSET,
      unusable: [],
      targets: [targetAt(leaving)],
    };
    return Ok(reading);
  };
  const follower = startTargetFollower(
    {
      list: {read},
      registry,
      clock: now,
      machineClock: now,
      storeClock,
      storeDistance: createStoreDistance(),
      storeAvailability: createStoreAvailability(),
      readsStore,
      onListing: () => undefined,
      spread: 0,
      log: errorFreeLog,
      draining: DRAINING,
      heartbeat: 1_200,
      onTargets: () => undefined,
      onChange: () => undefined,
      isConfigured: () => true,
    },
    stopped.signal,
  );
  const isChosen = () =>
    registry.choose(plainRequest({expectedRun: 0, now: now()})).kind ===
    'chosen';
  /** Applies the listing of a relay that has read the list at `readAt`. */
  const receiveReading = (readAt: number): void => {
    const leaving = readAt - startedAt >= leavesAt;
    follower.receive({
      revision: leaving ? 2 : 1,
      era: 0,
      storeTime: readAt + STORE_OFFSET,
      targets: [targetAt(leaving)],
    });
  };
  /** Applies the listing of a relay that has just read `targets`. */
  const receiveTargets = (
    revision: number,
    targets: readonly ListedTarget[],
  ): void =>
    follower.receive({
      revision,
      era: 0,
      storeTime: now() + STORE_OFFSET,
      targets,
    });
  return {
    isChosen,
    receiveReading,
    receiveTargets,
    reads: () => reads,
    listedAt: follower.listedAt,
  };
}

// The links to the store are saturated, and its answers arrive more than a
// second late. Requests must not reach a leaving target after the draining
// bound.
test('learns in time that a target is leaving though answers are late', async () => {
  for (const leavesAt of [5_100, 5_700, 6_400, 7_100]) {
    const {isChosen} = startFollower(1_400, leavesAt);
    await vi.advanceTimersByTimeAsync(leavesAt);
    expect(isChosen()).toBe(true);
    await vi.advanceTimersByTimeAsync(DRAINING);
    expect(isChosen()).toBe(false);
  }
});

// A target leaves, the first answer of the store after that is lost, and the
// next one takes a second. A request once reached the target 0.1 s after its
// bound.
test('learns in time that a target is leaving though an answer is lost', async () => {
  for (const leavesAt of [5_100, 5_500, 6_000, 6_300]) {
    const {isChosen} = startFollower(1_000, leavesAt, true);
    await vi.advanceTimersByTimeAsync(leavesAt + DRAINING);
    expect(isChosen()).toBe(false);
  }
});

test('keeps sending to a target that stays', async () => {
  const {isChosen} = startFollower(5, Infinity);
  await vi.advanceTimersByTimeAsync(10 * DRAINING);
  expect(isChosen()).toBe(true);
});

test('does not read the list while a relay sends its readings', async () => {
  const follower = startFollower(5, 20_100, false, {
    readsStore: () => false,
  });
  await vi.advanceTimersByTimeAsync(100);
  for (let round = 0; round < 25; round += 1) {
    follower.receiveReading(Date.now() - 10);
    await vi.advanceTimersByTimeAsync(RELAY_PERIOD);
  }
  expect(follower.reads()).toBe(0);
  expect(follower.isChosen()).toBe(false);
});

// The relay is disconnected from the store, frozen, or its updates are delayed
// for seconds, and a target leaves. Dated by their arrival, the updates would
// make an old list look new, and requests would reach the target after its
// bound.
test('learns in time that a target is leaving whatever the relay does', async () => {
  for (const delay of [400, 1_400]) {
    for (const updateDelay of [0, 500, 1_500, 4_000]) {
      for (const leavesAt of [5_100, 5_500, 6_000, 6_300, 7_100]) {
        for (const silentFrom of [0, 4_900, 5_300, Infinity]) {
          stopped.abort();
          stopped = new AbortController();
          const startedAt = Date.now();
          const follower = startFollower(delay, leavesAt, false, {
            readsStore: () => false,
          });
          for (let now = 0; now < leavesAt + DRAINING; now += RELAY_PERIOD) {
            const readAt = startedAt + now - updateDelay;
            if (now > 0 && now < silentFrom) follower.receiveReading(readAt);
            const left = leavesAt + DRAINING - now;
            await vi.advanceTimersByTimeAsync(Math.min(RELAY_PERIOD, left));
          }
          expect(
            follower.isChosen(),
            `${delay} ${updateDelay} ${leavesAt} ${silentFrom}`,
          ).toBe(false);
        }
      }
    }
  }
});

// The store is unavailable for some four seconds and targets can't renew their
// rows. The relay's first listing afterwards contains none of them, though all
// still run.
test('keeps lapsed targets that a relay does not list after the store was unavailable', async () => {
  let away = false;
  const {isChosen, receiveTargets} = startFollower(5, Infinity, false, {
    readsStore: () => false,
    isAway: () => away,
  });
  await vi.advanceTimersByTimeAsync(500);
  receiveTargets(2, [targetAt(false)]);
  away = true;
  await vi.advanceTimersByTimeAsync(3_900);
  receiveTargets(3, []);
  expect(isChosen()).toBe(true);
  await vi.advanceTimersByTimeAsync(1_900);
  receiveTargets(4, []);
  expect(isChosen()).toBe(true);
  await vi.advanceTimersByTimeAsync(200);
  receiveTargets(5, []);
  expect(isChosen()).toBe(false);
});

// Only the relay is disconnected from the store, and a target leaves for good.
// The relay keeps its lapsed row for a while; this entry has newer information.
test('a target that was seen to leave does not return through a relay', async () => {
  const {isChosen, receiveTargets} = startFollower(5, Infinity, false, {
    readsStore: () => false,
  });
  await vi.advanceTimersByTimeAsync(500);
  receiveTargets(2, [targetAt(false)]);
  await vi.advanceTimersByTimeAsync(500);
  receiveTargets(3, []);
  expect(isChosen()).toBe(false);
  receiveTargets(2, [targetAt(false)]);
  expect(isChosen()).toBe(false);
});

// Each of 20 entries that start together read the list for itself.
test('reads no list at its start before its relay had time to send one', async () => {
  const follower = startFollower(5, Infinity, false, {readsStore: () => false});
  await vi.advanceTimersByTimeAsync(DRAINING / 3);
  expect(follower.reads()).toBe(0);
  await vi.advanceTimersByTimeAsync(DRAINING / 3);
  expect(follower.isChosen()).toBe(true);
});

test('a first list that a relay sends late is as old as its reading', async () => {
  const startedAt = Date.now();
  const {receiveReading, listedAt} = startFollower(5_000, Infinity);
  expect(listedAt()).toBeUndefined();
  receiveReading(startedAt - 2_000);
  expect(listedAt()).toBe(startedAt - 2_000);
});

// Without the longer interval, each of 43 entries reads the list every 0.6 s
// while the store is unavailable for 8 s.
test('reads the list rarely while the store is unavailable, and in time once it is back', async () => {
  for (const leavesAt of [8_000, 8_500, 9_000, 9_500, 10_000]) {
    let isAway = false;
    const follower = startFollower(5, leavesAt, false, {
      readsStore: () => false,
      isAway: () => isAway,
    });
    await vi.advanceTimersByTimeAsync(100);
    follower.receiveReading(Date.now() - 10);
    isAway = true;
    await vi.advanceTimersByTimeAsync(leavesAt - 100);
    isAway = false;
    expect(follower.reads()).toBeLessThanOrEqual(6);
    await vi.advanceTimersByTimeAsync(DRAINING);
    expect(follower.isChosen()).toBe(false);
  }
});
