import {
  createConfirmation,
  createNamedVersions,
  createStoreAvailability,
  createStoreClock,
  hash32,
  type RoutingConfiguration,
} from '@hibiscusbeam/core';
import type {OperatorFeed, OperatorReading} from '@hibiscusbeam/fleet';
import {Ok} from 'ts-results';
import {afterEach, beforeEach, expect, test, vi} from 'vitest';
import {createEvacuationMonitor} from '../../packages/fleet/src/entry/evacuation_monitor';
import {
  createOperatorFollower,
  type OperatorFollower,
  type TableSource,
} from '../../packages/fleet/src/entry/operator_follower';
import {createConfigurationCopies} from '../../packages/fleet/src/link/configuration_copies';
import {errorFreeLog} from '../fixtures/error_free_log';

/** Entries of one region of a site with hundreds of processes. */
const ENTRIES = 80;

/** Time that the region's link takes for one copy of the table. */
const COPY_TIME = 45;

/** Time from a configuration's writing until it must be in force. */
const CONFIGURATION_BOUND = 4_000;

/** Time within which a read must have progressed. */
const PROGRESS_TIMEOUT = 2_500;

const RELAY_ANSWER_TIME = 300;
const RELAY_DELAY = 50;

let stopped: AbortController;

beforeEach(() => {
  stopped = new AbortController();
  vi.useFakeTimers();
});

afterEach(() => {
  stopped.abort();
  vi.useRealTimers();
});

const CONFIGURATION: RoutingConfiguration = {
  version: 1,
  routes: [],
  services: [],
  workspaces: [],
  limits: {headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1},
};

/** A link over which whole tables are read one after the other. */
function createLink() {
  let freeAt = 0;
  let copies = 0;
  let longestWait = 0;
  return {
    carryCopy: () => {
      const now = Date.now();
      freeAt = Math.max(freeAt, now) + COPY_TIME;
      copies += 1;
      longestWait = Math.max(longestWait, freeAt - now);
      return new Promise(resolve => setTimeout(resolve, freeAt - now));
    },
    copies: () => copies,
    longestWait: () => longestWait,
  };
}

type Link = ReturnType<typeof createLink>;

function readingOf(isWhole: boolean): OperatorReading {
  return {
    revision: 1,
    era: 0,
    storeTime: Date.now(),
    unusable: [],
    configuration: isWhole ? CONFIGURATION : undefined,
    document: isWhole ? {revision: 1, text: Buffer.from('1')} : undefined,
    isConfigurationLost: false,
    namedVersions: [],
    evacuations: [],
    newestChange: isWhole ? 1 : 0,
  };
}

function feedOver(link: Link): OperatorFeed {
  return {
    readAll: async () => {
      await link.carryCopy();
      return Ok(readingOf(true));
    },
    follow: async (_after, wait) => {
      await new Promise(resolve => setTimeout(resolve, wait + 10));
      return Ok(readingOf(false));
    },
    recordNaming: () => Promise.resolve(Ok(true)),
    decode: () => Ok(CONFIGURATION),
  };
}

/** Starts an entry; `onReading` is called with what it has read. */
function startEntry(
  index: number,
  link: Link,
  source: () => TableSource,
  onReading: (moment: Parameters<OperatorFollower['receive']>[0]) => void,
) {
  const spread = hash32(`entry-${index}`) / 2 ** 32;
  const storeClock = createStoreClock();
  const copies = createConfigurationCopies();
  const follower = createOperatorFollower({
    feed: feedOver(link),
    clock: () => Date.now(),
    confirmation: createConfirmation(storeClock),
    storeClock,
    storeAvailability: createStoreAvailability(),
    versions: createNamedVersions(8_000),
    copies,
    evacuations: createEvacuationMonitor({
      log: errorFreeLog,
      metrics: {setEvacuatedZones: () => undefined},
      isKnownZone: () => true,
    }),
    log: errorFreeLog,
    bound: CONFIGURATION_BOUND,
    source,
    maxRelayWait: CONFIGURATION_BOUND * (1 + spread),
    spread,
    onReading,
    onChange: () => undefined,
    onVersionsOrServices: () => undefined,
    onConfiguration: () => undefined,
  });
  follower.start(stopped.signal);
  return {follower, copies};
}

// Each entry read the table itself, and all reads of a region timed out.
test('entries that start together read one copy of the table over their link', async () => {
  const link = createLink();
  const startedAt = Date.now();
  const followerSource = (): TableSource =>
    Date.now() - startedAt < RELAY_ANSWER_TIME ? 'undecided' : 'zoneRelay';
  const relay = startEntry(
    0,
    link,
    () => 'store',
    moment =>
      setTimeout(() => {
        const copy = relay.copies.write(0);
        for (const {follower} of followers) follower.receive(moment, copy);
      }, RELAY_DELAY),
  );
  const followers = Array.from({length: ENTRIES - 1}, (_, index) =>
    startEntry(index + 1, link, followerSource, () => undefined),
  );
  await vi.advanceTimersByTimeAsync(CONFIGURATION_BOUND / 4);
  for (const {follower} of followers) {
    expect(follower.table()?.configuration.version).toBe(1);
  }
  await vi.advanceTimersByTimeAsync(3 * CONFIGURATION_BOUND);
  expect(link.copies()).toBe(1);
});

test('entries that find no relay read the table spread over time', async () => {
  const link = createLink();
  const followers = Array.from({length: ENTRIES}, (_, index) =>
    startEntry(
      index,
      link,
      () => 'undecided',
      () => undefined,
    ),
  );
  await vi.advanceTimersByTimeAsync(3 * CONFIGURATION_BOUND);
  expect(link.longestWait()).toBeLessThan(PROGRESS_TIMEOUT);
  for (const {follower} of followers) {
    expect(follower.table()?.configuration.version).toBe(1);
  }
});

test('an entry whose relay sends an unreadable copy reads the table at once', async () => {
  const link = createLink();
  const {follower} = startEntry(
    0,
    link,
    () => 'zoneRelay',
    () => undefined,
  );
  const moment = {
    revision: 1,
    newestChange: 1,
    storeTime: Date.now(),
    configurationRevision: 1,
    evacuatedZones: [],
  };
  follower.receive(moment, {
    revision: 1,
    baseRevision: 0,
    content: Buffer.from('corrupt'),
    digest: Buffer.alloc(32),
  });
  expect(follower.table()).toBeUndefined();
  await vi.advanceTimersByTimeAsync(CONFIGURATION_BOUND / 4);
  expect(follower.table()?.configuration.version).toBe(1);
  expect(link.copies()).toBe(1);
});
