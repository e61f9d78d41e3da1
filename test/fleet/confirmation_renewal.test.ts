import {
  createConfirmation,
  createNamedVersions,
  createStoreClock,
  createStoreAvailability,
} from '@hibiscusbeam/core';
import type {HostError, OperatorFeed} from '@hibiscusbeam/fleet';
import {Err, Ok} from 'ts-results';
import {afterEach, beforeEach, expect, test, vi} from 'vitest';
import {createEvacuationMonitor} from '../../packages/fleet/src/entry/evacuation_monitor';
import {createHeldReadings} from '../../packages/fleet/src/entry/held_readings';
import {createOperatorFollower} from '../../packages/fleet/src/entry/operator_follower';
import {createConfigurationCopies} from '../../packages/fleet/src/link/configuration_copies';
import {errorFreeLog} from '../fixtures/error_free_log';

const BOUND = 2_000;

/** Interval at which the list of targets is read; these reads are answered. */
const LIST_PERIOD = 600;

const LOST: HostError = {
  kind: 'noAnswer',
  detail: 'no answer in time',
  progress: 'underWay',
};

const REFUSED: HostError = {kind: 'unavailable', detail: 'status 503'};

let stopped: AbortController;

beforeEach(() => {
  stopped = new AbortController();
  vi.useFakeTimers();
});

afterEach(() => {
  stopped.abort();
  vi.useRealTimers();
});

const later = (time: number) =>
  new Promise(resolve => setTimeout(resolve, time));

/** An entry whose store takes `legTime` each way and holds no configuration. */
function startEntry(legTime: number) {
  const now = () => Date.now();
  let lost = 0;
  let refusals = 0;
  let queries = 0;
  const reading = () => ({
    revision: 1,
    era: 0,
    storeTime: now(),
    unusable: [],
    configuration: undefined,
    document: undefined,
    isConfigurationLost: false,
    namedVersions: [],
    evacuations: [],
    newestChange: 0,
  });
  async function answer(wait: number, timeout: number) {
    queries += 1;
    if (lost > 0) {
      lost -= 1;
      await later(timeout);
      return Err(LOST);
    }
    if (refusals > 0) {
      refusals -= 1;
      return Err(REFUSED);
    }
    await later(legTime + wait);
    const answered = reading();
    await later(legTime);
    return Ok(answered);
  }
  const feed: OperatorFeed = {
    readAll: timeout => answer(0, timeout),
    follow: (_after, wait, timeout) => answer(wait, timeout),
    recordNaming: () => Promise.resolve(Ok(true)),
    decode: () => Err('none'),
  };
  const storeClock = createStoreClock();
  const confirmation = createConfirmation(storeClock);
  const storeAvailability = createStoreAvailability();
  const follower = createOperatorFollower({
    feed,
    clock: now,
    confirmation,
    storeAvailability,
    versions: createNamedVersions(8_000),
    storeClock,
    log: errorFreeLog,
    bound: BOUND,
    copies: createConfigurationCopies(),
    evacuations: createEvacuationMonitor({
      log: errorFreeLog,
      metrics: {setEvacuatedZones: () => undefined},
      isKnownZone: () => true,
    }),
    source: () => 'store',
    maxRelayWait: 0,
    spread: 0,
    onReading: () => undefined,
    onChange: () => undefined,
    onVersionsOrServices: () => undefined,
    onConfiguration: () => undefined,
  });
  const readings = createHeldReadings({
    confirmation,
    listedAt: now,
    evacuationsReadAt: now,
    storeAvailability,
    machineClock: now,
    bounds: {configuration: BOUND, draining: BOUND, evacuation: BOUND},
  });
  follower.start(stopped.signal);
  return {
    readings,
    lose: (count: number) => (lost = count),
    refuse: (count: number) => (refusals = count),
    queries: () => queries,
    recordListRead: () => storeAvailability.record(now(), 'answered'),
  };
}

type Entry = ReturnType<typeof startEntry>;

/**
 * Expects a current configuration at whatever time of a query the fault occurs.
 */
async function expectCurrent(
  legTime: number,
  injectFault: (entry: Entry) => void,
): Promise<void> {
  for (let offset = 0; offset < 500; offset += 50) {
    stopped.abort();
    stopped = new AbortController();
    const entry = startEntry(legTime);
    await vi.advanceTimersByTimeAsync(2_000 + offset);
    injectFault(entry);
    for (let time = 0; time < 4_000; time += 20) {
      if (time % LIST_PERIOD === 0) entry.recordListRead();
      expect(entry.readings.configuration()).toBe('current');
      await vi.advanceTimersByTimeAsync(20);
    }
  }
}

// All entries start at once, and the store answers late and loses an answer of
// each. The list of targets is read meanwhile, so the store counts as
// available.
test.each([20, 100, 150])(
  'one lost answer does not make the configuration outdated, at %i ms to the store',
  async legTime => {
    await expectCurrent(legTime, entry => entry.lose(1));
  },
);

// The first query that the store accepts again waits for changes, while what is
// held is nearly too old.
test('refused queries do not make the configuration outdated', async () => {
  await expectCurrent(150, entry => entry.refuse(3));
});

test('a lost answer costs one additional query', async () => {
  const entry = startEntry(20);
  await vi.advanceTimersByTimeAsync(2_000);
  const before = entry.queries();
  entry.lose(1);
  await vi.advanceTimersByTimeAsync(4_000);
  expect(entry.queries() - before).toBeLessThanOrEqual(11);
});
