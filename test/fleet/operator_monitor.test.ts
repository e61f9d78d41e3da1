import {
  createNamedVersions,
  type RoutingConfiguration,
  type ServiceDescription,
} from '@hibiscusbeam/core';
import type {OperatorFeed, OperatorReading} from '@hibiscusbeam/fleet';
import {Err, Ok} from 'ts-results';
import {afterEach, beforeEach, expect, test, vi} from 'vitest';
import {createOperatorMonitor} from '../../packages/fleet/src/agent/operator_monitor';
import {servicesDigest} from '../../packages/fleet/src/link/services_digest';
import {errorFreeLog} from '../fixtures/error_free_log';

const SERVICES: readonly ServiceDescription[] = [
  {kind: 'plain', name: 'plain', coldStart: undefined},
];

let stopped: AbortController;

beforeEach(() => {
  stopped = new AbortController();
  vi.useFakeTimers();
});

afterEach(() => {
  stopped.abort();
  vi.useRealTimers();
});

/** A monitor whose store returns `later` to each request after the first. */
function startMonitor(later?: OperatorReading['configuration']) {
  let requests = 0;
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
      requests += 1;
      await new Promise(resolve => setTimeout(resolve, wait));
      return Ok({...reading, configuration: later});
    },
    decode: () => Err('not asked'),
  };
  const versions = createNamedVersions(8_000);
  const monitor = createOperatorMonitor({
    feed,
    versions,
    clock: () => Date.now(),
    log: errorFreeLog,
    onServices: () => undefined,
  });
  monitor.start(stopped.signal);
  return {monitor, requests: () => requests};
}

// If each change of a large configuration went to each agent, it would saturate
// the links between regions, and requests would reach their targets seconds
// late.
test('does not query the store while entries send messages', async () => {
  const {monitor, requests} = startMonitor();
  const digest = servicesDigest(SERVICES);
  for (let second = 0; second < 10; second += 1) {
    monitor.recordEntryDigest(digest);
    await vi.advanceTimersByTimeAsync(1_000);
  }
  expect(requests()).toBe(0);
  expect(monitor.services()).toEqual(SERVICES);
});

test('queries the store once all entries have fallen silent', async () => {
  const {monitor, requests} = startMonitor();
  monitor.recordEntryDigest(servicesDigest(SERVICES));
  await vi.advanceTimersByTimeAsync(3_000);
  expect(requests()).toBe(1);
});

test('queries the store at once if an entry knows other services', async () => {
  const {monitor, requests} = startMonitor();
  await vi.advanceTimersByTimeAsync(10);
  monitor.recordEntryDigest(servicesDigest([]));
  await vi.advanceTimersByTimeAsync(300);
  expect(requests()).toBe(1);
});

test('keeps its services when a restored store has an older configuration', async () => {
  const older = {version: 1, services: []} as unknown as RoutingConfiguration;
  const {monitor, requests} = startMonitor(older);
  await vi.advanceTimersByTimeAsync(20_000);
  expect(requests()).toBeGreaterThan(0);
  expect(monitor.services()).toEqual(SERVICES);
});
