import {
  createConfirmation,
  createNamedVersions,
  type RoutingConfiguration,
} from '@hibiscusbeam/core';
import type {Log} from '@hibiscusbeam/daemon';
import type {OperatorFeed, OperatorReading} from '@hibiscusbeam/fleet';
import {Ok} from 'ts-results';
import {afterEach, beforeEach, expect, test, vi} from 'vitest';
import {createOperatorFollower} from '../../packages/fleet/src/entry/operator_follower';

/** The store's clock has nothing to do with the one here. */
const STORE_OFFSET = 777_000;

/** Age at which keys are not served any more. */
const BOUND = 4_700;

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

/** A store whose configuration `version` is written by the test. */
function startFollower(readsStore: () => boolean) {
  const now = () => Date.now();
  let version = 1;
  let questions = 0;
  let isCut = false;
  const readingOf = (isNew: boolean) =>
    ({
      revision: version,
      storeTime: now() + STORE_OFFSET,
      unusable: [],
      configuration: isNew ? configurationOf(version) : undefined,
      isConfigurationLost: false,
      namedVersions: [],
      newestChange: isNew ? version : 0,
    }) satisfies OperatorReading;
  const feed: OperatorFeed = {
    readAll: () => Promise.resolve(Ok(readingOf(true))),
    follow: async (after, wait) => {
      questions += 1;
      expect(Number.isInteger(wait)).toBe(true);
      const until = now() + wait;
      while (isCut || (version <= after && now() < until)) {
        await new Promise(resolve => setTimeout(resolve, 10));
      }
      return Ok(readingOf(version > after));
    },
  };
  const confirmation = createConfirmation();
  const follower = createOperatorFollower({
    feed,
    clock: now,
    confirmation,
    versions: createNamedVersions(8_000),
    log,
    readsStore,
    spread: 0,
    onMoment: () => undefined,
    onChange: () => undefined,
    onNews: () => undefined,
  });
  follower.start(stopped.signal);
  return {
    follower,
    questions: () => questions,
    write: () => (version += 1),
    cut: () => (isCut = true),
    isFresh: () => confirmation.isFresh(now(), BOUND),
    /** What a relay tells that looked at the store `ago` milliseconds ago. */
    hearFromRelay: (ago: number, newestChange = version) =>
      follower.hear({
        revision: version,
        newestChange,
        storeTime: now() - ago + STORE_OFFSET,
      }),
  };
}

function configurationOf(version: number): RoutingConfiguration {
  return {
    version,
    routes: [],
    services: [],
    workspaces: [],
    limits: {
      headerBytes: 1,
      bodyBytes: 1,
      headerTimeout: 1,
      idleTimeout: 1,
    },
  };
}

test('asks the store seldom while a relay tells what it reads', async () => {
  const site = startFollower(() => false);
  await vi.advanceTimersByTimeAsync(100);
  for (let second = 0; second < 60; second += 2) {
    site.hearFromRelay(5);
    expect(site.isFresh()).toBe(true);
    await vi.advanceTimersByTimeAsync(2_000);
  }
  // One in 20 s, to know what the store's clock means.
  expect(site.questions()).toBeLessThanOrEqual(3);
});

test('reads a configuration at once that the relay has heard of', async () => {
  const site = startFollower(() => false);
  await vi.advanceTimersByTimeAsync(100);
  site.write();
  site.hearFromRelay(5);
  await vi.advanceTimersByTimeAsync(50);
  expect(site.follower.table()?.version).toBe(2);
});

// A key is taken away, and this entry alone is cut off from the store. The
// relay's word that it has just read the table must not confirm the old one.
test('a relay confirms nothing that is older than what it has read', async () => {
  const site = startFollower(() => false);
  await vi.advanceTimersByTimeAsync(100);
  site.cut();
  for (let second = 0; second < 6; second += 1) {
    site.hearFromRelay(5, 2);
    await vi.advanceTimersByTimeAsync(1_000);
  }
  expect(site.follower.table()?.version).toBe(1);
  expect(site.isFresh()).toBe(false);
});

// A relay is frozen with news in hand, and passes them on four seconds later.
test('old news of a relay do not confirm, and the store is asked', async () => {
  const site = startFollower(() => false);
  await vi.advanceTimersByTimeAsync(100);
  const before = site.questions();
  for (let second = 0; second < 10; second += 1) {
    site.hearFromRelay(4_000);
    await vi.advanceTimersByTimeAsync(1_000);
    expect(site.isFresh()).toBe(true);
  }
  expect(site.questions()).toBeGreaterThan(before);
});

test('asks the store itself when its relay has fallen silent', async () => {
  let readsStore = false;
  const site = startFollower(() => readsStore);
  await vi.advanceTimersByTimeAsync(1_000);
  readsStore = true;
  await vi.advanceTimersByTimeAsync(20_000);
  expect(site.questions()).toBeGreaterThanOrEqual(9);
  expect(site.questions()).toBeLessThanOrEqual(12);
  expect(site.isFresh()).toBe(true);
});
