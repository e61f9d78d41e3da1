import {
  createNamedVersions,
  type RoutingConfiguration,
  type ServiceDescription,
} from '@hibiscusbeam/core';
import type {Log} from '@hibiscusbeam/daemon';
import type {OperatorFeed, OperatorReading} from '@hibiscusbeam/fleet';
import {Err, Ok} from 'ts-results';
import {afterEach, beforeEach, expect, test, vi} from 'vitest';
import {createOperatorMonitor} from '../../packages/fleet/src/agent/operator_monitor';
import {servicesDigest} from '../../packages/fleet/src/link/services_digest';

const SERVICES: readonly ServiceDescription[] = [
  {kind: 'plain', name: 'plain', coldStart: undefined},
];

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

/** A watch whose store has `later` at each question after the first. */
function startMonitor(later?: OperatorReading['configuration']) {
  let questions = 0;
  const reading = {
    revision: 1,
    storeTime: 0,
    unusable: [],
    configuration: {version: 2, services: SERVICES},
    isConfigurationLost: false,
    namedVersions: [],
    evacuations: [],
  } as unknown as OperatorReading;
  const feed: OperatorFeed = {
    readAll: () => Promise.resolve(Ok(reading)),
    recordNaming: () => Promise.resolve(Ok(true)),
    follow: async (_after, wait) => {
      questions += 1;
      await new Promise(resolve => setTimeout(resolve, wait));
      return Ok({...reading, configuration: later});
    },
    decode: () => Err('not asked'),
  };
  const versions = createNamedVersions(8_000);
  const watch = createOperatorMonitor(feed, versions, () => Date.now(), log);
  watch.start(stopped.signal);
  return {watch, questions: () => questions};
}

// Each change of a large configuration goes to each agent, chokes the links
// between regions, and requests reach their targets seconds late.
test('asks the store for nothing while entries speak', async () => {
  const {watch, questions} = startMonitor();
  const digest = servicesDigest(SERVICES);
  for (let second = 0; second < 10; second += 1) {
    watch.recordEntryDigest(digest);
    await vi.advanceTimersByTimeAsync(1_000);
  }
  expect(questions()).toBe(0);
  expect(watch.services()).toEqual(SERVICES);
});

test('asks once all entries have fallen silent', async () => {
  const {watch, questions} = startMonitor();
  watch.recordEntryDigest(servicesDigest(SERVICES));
  await vi.advanceTimersByTimeAsync(3_000);
  expect(questions()).toBe(1);
});

test('asks at once if an entry knows other services', async () => {
  const {watch, questions} = startMonitor();
  await vi.advanceTimersByTimeAsync(10);
  watch.recordEntryDigest(servicesDigest([]));
  await vi.advanceTimersByTimeAsync(300);
  expect(questions()).toBe(1);
});

test('keeps its services when a restored store has an older configuration', async () => {
  const older = {version: 1, services: []} as unknown as RoutingConfiguration;
  const {watch, questions} = startMonitor(older);
  await vi.advanceTimersByTimeAsync(20_000);
  expect(questions()).toBeGreaterThan(0);
  expect(watch.services()).toEqual(SERVICES);
});
