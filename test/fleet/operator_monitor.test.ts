import {
  createNamedVersions,
  type RoutingConfiguration,
} from '@hibiscusbeam/core';
import type {OperatorFeed, OperatorReading} from '@hibiscusbeam/fleet';
import {Err, Ok} from 'ts-results';
import {afterEach, beforeEach, expect, test, vi} from 'vitest';
import {createOperatorMonitor} from '../../packages/fleet/src/agent/operator_monitor';
import {servicesDigest} from '../../packages/fleet/src/link/services_digest';
import {
  writeServices,
  type AgentService,
} from '../../packages/fleet/src/link/services_copy';
import {errorFreeLog} from '../fixtures/error_free_log';

const SERVICES: readonly AgentService[] = [
  {kind: 'weightOrigin', name: 'origin', address: '10.0.0.1:80', linkRate: 9},
];

const MAX_ENTRY_WAIT = 8_000;

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
function startMonitor(
  hasEntries: boolean,
  later?: OperatorReading['configuration'],
) {
  const requests: (number | 'whole')[] = [];
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
    readAll: () => {
      requests.push('whole');
      return Promise.resolve(Ok(reading));
    },
    recordNaming: () => Promise.resolve(Ok(true)),
    follow: async (after, wait) => {
      requests.push(after);
      await new Promise(resolve => setTimeout(resolve, wait));
      return Ok({...reading, configuration: later});
    },
    decode: () => Err('not asked'),
  };
  const monitor = createOperatorMonitor({
    feed,
    versions: createNamedVersions(8_000),
    clock: () => Date.now(),
    log: errorFreeLog,
    hasEntries: () => hasEntries,
    maxEntryWait: MAX_ENTRY_WAIT,
    onServices: () => undefined,
  });
  monitor.start(stopped.signal);
  return {monitor, requests};
}

/** What an entry with this version and revision of the table replies. */
function knowledgeOf(
  configurationVersion: number,
  knownUntil: number,
  services: Parameters<typeof servicesDigest>[0] = configured(),
) {
  return {
    configurationVersion,
    knownUntil,
    servicesDigest: servicesDigest(services),
    services: writeServices(services),
  };
}

function configured(): RoutingConfiguration['services'] {
  return SERVICES as RoutingConfiguration['services'];
}

const NO_KNOWLEDGE = {
  configurationVersion: 0,
  knownUntil: 0,
  servicesDigest: servicesDigest([]),
};

// If each change of a large configuration went to each agent, it would saturate
// the links between regions, and requests would reach their targets seconds
// late.
test('does not query the store while entries send messages', async () => {
  const {monitor, requests} = startMonitor(true);
  for (let second = 0; second < 20; second += 1) {
    monitor.receive(knowledgeOf(2, 5 + second));
    await vi.advanceTimersByTimeAsync(1_000);
  }
  expect(requests).toEqual([]);
  expect(monitor.services()).toEqual(SERVICES);
});

test('queries the store for changes once all entries have fallen silent', async () => {
  const {monitor, requests} = startMonitor(true);
  monitor.receive(knowledgeOf(2, 5));
  monitor.receive({...knowledgeOf(2, 7), services: undefined});
  await vi.advanceTimersByTimeAsync(3_000);
  expect(requests).toEqual([7]);
});

test('queries the store at once if an entry knows other services and does not send them', async () => {
  const {monitor, requests} = startMonitor(true);
  monitor.receive(knowledgeOf(2, 5));
  await vi.advanceTimersByTimeAsync(10);
  monitor.receive({...NO_KNOWLEDGE, servicesDigest: 1});
  await vi.advanceTimersByTimeAsync(300);
  expect(requests).toEqual([5]);
});

test('an entry with older services, or with none, causes no query', async () => {
  const {monitor, requests} = startMonitor(true);
  for (let second = 0; second < 10; second += 1) {
    monitor.receive(knowledgeOf(2, 5));
    monitor.receive(
      knowledgeOf(1, 4, [{kind: 'plain', name: 'other', coldStart: undefined}]),
    );
    monitor.receive(NO_KNOWLEDGE);
    await vi.advanceTimersByTimeAsync(1_000);
  }
  expect(requests).toEqual([]);
  expect(monitor.services()).toEqual(SERVICES);
});

test('a site without entries is read from the store at once', async () => {
  const {monitor, requests} = startMonitor(false);
  await vi.advanceTimersByTimeAsync(100);
  expect(requests[0]).toBe('whole');
  expect(monitor.services()).toEqual(SERVICES);
});

// Entries that start with the agent know no configuration for a while.
test('an agent whose entries know nothing for long reads the store itself', async () => {
  const {monitor, requests} = startMonitor(true);
  for (let second = 0; second < 10; second += 1) {
    monitor.receive(NO_KNOWLEDGE);
    await vi.advanceTimersByTimeAsync(1_000);
    expect(requests.length).toBe(second < MAX_ENTRY_WAIT / 1_000 - 1 ? 0 : 1);
  }
  expect(monitor.services()).toEqual(SERVICES);
});

test('keeps its services when a restored store has an older configuration', async () => {
  const older = {version: 1, services: []} as unknown as RoutingConfiguration;
  const {monitor, requests} = startMonitor(false, older);
  await vi.advanceTimersByTimeAsync(20_000);
  expect(requests.length).toBeGreaterThan(0);
  expect(monitor.services()).toEqual(SERVICES);
});
