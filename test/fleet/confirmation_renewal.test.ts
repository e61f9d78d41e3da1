import {
  createConfirmation,
  createNamedVersions,
  createStoreClock,
  createStoreAvailability,
} from '@hibiscusbeam/core';
import type {Log} from '@hibiscusbeam/daemon';
import type {HostError, OperatorFeed} from '@hibiscusbeam/fleet';
import {Err, Ok} from 'ts-results';
import {afterEach, beforeEach, expect, test, vi} from 'vitest';
import {createEvacuationMonitor} from '../../packages/fleet/src/entry/evacuation_monitor';
import {createHeldReadings} from '../../packages/fleet/src/entry/held_readings';
import {createOperatorFollower} from '../../packages/fleet/src/entry/operator_follower';
import {createConfigurationCopies} from '../../packages/fleet/src/link/configuration_copies';

const BOUND = 2_000;

/** Period in which the list of targets is read; its reads are answered. */
const LIST_PERIOD = 600;

const LOST: HostError = {
  kind: 'noAnswer',
  detail: 'no answer in time',
  progress: 'underWay',
};

const TURNED_AWAY: HostError = {kind: 'unavailable', detail: 'status 503'};

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

const later = (time: number) =>
  new Promise(resolve => setTimeout(resolve, time));

/** An entry whose store takes `legTime` each way and holds no configuration. */
function startEntry(legTime: number) {
  const now = () => Date.now();
  let lost = 0;
  let turnedAway = 0;
  let questions = 0;
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
    questions += 1;
    if (lost > 0) {
      lost -= 1;
      await later(timeout);
      return Err(LOST);
    }
    if (turnedAway > 0) {
      turnedAway -= 1;
      return Err(TURNED_AWAY);
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
  const storeContact = createStoreAvailability();
  const follower = createOperatorFollower({
    feed,
    clock: now,
    confirmation,
    storeContact,
    versions: createNamedVersions(8_000),
    storeClock,
    log,
    bound: BOUND,
    copies: createConfigurationCopies(),
    evacuations: createEvacuationMonitor({
      log,
      metrics: {setEvacuatedZones: () => undefined},
      isKnownZone: () => true,
    }),
    source: () => 'store',
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
    storeContact,
    machineClock: now,
    bounds: {configuration: BOUND, draining: BOUND, evacuation: BOUND},
  });
  follower.start(stopped.signal);
  return {
    readings,
    lose: (count: number) => (lost = count),
    turnAway: (count: number) => (turnedAway = count),
    questions: () => questions,
    noteList: () => storeContact.record(now(), 'answered'),
  };
}

type Entry = ReturnType<typeof startEntry>;

/** Whatever moment of a question's life the trouble comes at. */
async function expectCurrent(
  legTime: number,
  trouble: (entry: Entry) => void,
): Promise<void> {
  for (let offset = 0; offset < 500; offset += 50) {
    stopped.abort();
    stopped = new AbortController();
    const entry = startEntry(legTime);
    await vi.advanceTimersByTimeAsync(2_000 + offset);
    trouble(entry);
    for (let time = 0; time < 4_000; time += 20) {
      if (time % LIST_PERIOD === 0) entry.noteList();
      expect(entry.readings.configuration()).toBe('current');
      await vi.advanceTimersByTimeAsync(20);
    }
  }
}

// All entries start at once, and the store answers late and loses an answer of
// each. The list of targets is read meanwhile, so the store counts as serving.
test.each([20, 100, 150])(
  'one lost answer makes no configuration outdated, at %i ms to the store',
  async legTime => {
    await expectCurrent(legTime, entry => entry.lose(1));
  },
);

// The first question that the store takes again waits for news, while what is
// held is nearly too old.
test('questions that are turned away make no configuration outdated', async () => {
  await expectCurrent(150, entry => entry.turnAway(3));
});

test('a lost answer costs one further question', async () => {
  const entry = startEntry(20);
  await vi.advanceTimersByTimeAsync(2_000);
  const before = entry.questions();
  entry.lose(1);
  await vi.advanceTimersByTimeAsync(4_000);
  expect(entry.questions() - before).toBeLessThanOrEqual(11);
});
