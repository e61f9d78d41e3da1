import {
  createConfirmation,
  createNamedVersions,
  createStoreClock,
  createStoreAvailability,
  type EvacuationChange,
  type RoutingConfiguration,
} from '@hibiscusbeam/core';
import type {Log} from '@hibiscusbeam/daemon';
import type {
  NamedVersion,
  OperatorFeed,
  OperatorReading,
} from '@hibiscusbeam/fleet';
import type {ConfigurationCopy} from '@hibiscusbeam/wire';
import {Err, Ok} from 'ts-results';
import {afterEach, beforeEach, expect, test, vi} from 'vitest';
import {createEvacuationMonitor} from '../../packages/fleet/src/entry/evacuation_monitor';
import {
  createOperatorFollower,
  type TableSource,
} from '../../packages/fleet/src/entry/operator_follower';
import {createConfigurationCopies} from '../../packages/fleet/src/link/configuration_copies';
import {errorFreeLog} from '../fixtures/error_free_log';

/** The store's clock is unrelated to the local one. */
const STORE_OFFSET = 777_000;

/** Time from a configuration's writing until it must be in force. */
const CONFIGURATION_BOUND = 2_000;

/**
 * Time from a version's naming after which older versions start no requests.
 */
const VERSION_BOUND = 8_000;

/** Age of a configuration from which its keys are no longer accepted. */
const MAX_CONFIRMATION_AGE = 4_700;

let stopped: AbortController;

beforeEach(() => {
  stopped = new AbortController();
  vi.useFakeTimers();
});

afterEach(() => {
  stopped.abort();
  vi.useRealTimers();
});

/** Starts a follower of a store whose configurations the test writes. */
function startFollower(source: () => TableSource, maxRelayWait = 0) {
  const now = () => Date.now();
  let version = 1;
  let queries = 0;
  let isCut = false;
  let isAway = false;
  let isUnusable = false;
  let lag = 0;
  let named: readonly NamedVersion[] = [];
  const recorded: NamedVersion[] = [];
  let refusals = 0;
  const rows: EvacuationChange[] = [];
  const readingOf = (isNew: boolean) =>
    ({
      revision: version,
      era: 0,
      storeTime: now() + STORE_OFFSET,
      unusable: [],
      configuration:
        isNew && !isUnusable ? configurationOf(version) : undefined,
      document: isNew && !isUnusable ? documentOf(version) : undefined,
      isConfigurationLost: isNew && isUnusable,
      namedVersions: isNew ? named : [],
      evacuations: isNew ? rows : [],
      newestChange: isNew ? version : 0,
    }) satisfies OperatorReading;
  const feed: OperatorFeed = {
    readAll: () => Promise.resolve(Ok(readingOf(true))),
    follow: async (after, wait) => {
      queries += 1;
      expect(Number.isInteger(wait)).toBe(true);
      if (isAway) return Err({kind: 'unavailable', detail: ''});
      const until = now() + wait;
      while (isCut || (version <= after && now() < until)) {
        await new Promise(resolve => setTimeout(resolve, 10));
      }
      const reading = readingOf(version > after);
      if (lag > 0) await new Promise(later => setTimeout(later, lag));
      return Ok(reading);
    },
    recordNaming: async naming => {
      recorded.push(naming);
      refusals -= 1;
      if (refusals >= 0) return Err({kind: 'unavailable', detail: ''});
      return Promise.resolve(Ok(true));
    },
    decode: ({text}) => {
      const written = Number(text.toString());
      return written > 0 ? Ok(configurationOf(written)) : Err('no number');
    },
  };
  const copies = createConfigurationCopies();
  const storeClock = createStoreClock();
  const confirmation = createConfirmation(storeClock);
  const versions = createNamedVersions(VERSION_BOUND);
  const logged: string[] = [];
  const note = (line: string): void => void logged.push(line);
  const evacuations = createEvacuationMonitor({
    log: {info: note, warn: note} as unknown as Log,
    metrics: {setEvacuatedZones: () => undefined},
    isKnownZone: zone => zone !== 'nowhere',
  });
  const writeEvacuation = (zone: string, isEvacuated: boolean): void => {
    version += 1;
    rows.push({zone, revision: version, isEvacuated});
  };
  const follower = createOperatorFollower({
    feed,
    clock: now,
    confirmation,
    storeAvailability: createStoreAvailability(),
    versions,
    storeClock,
    evacuations,
    log: errorFreeLog,
    bound: CONFIGURATION_BOUND,
    copies,
    source,
    maxRelayWait,
    spread: 0,
    onReading: () => undefined,
    onChange: () => undefined,
    onVersionsOrServices: () => undefined,
    onConfiguration: () => undefined,
  });
  follower.start(stopped.signal);
  return {
    follower,
    queries: () => queries,
    write: () => (version += 1),
    cut: () => (isCut = true),
    setAway: (next: boolean) => (isAway = next),
    delayAnswers: (by: number) => (lag = by),
    recorded,
    refuseRecords: (count: number) => (refusals = count),
    name: (namedAt?: number, number = 2) => {
      named = [{model: 'model', version: number, namedAt}];
      version += 1;
    },
    minVersion: () => versions.oldestAllowed('model', now(), 0),
    writeUnusable: () => {
      isUnusable = true;
      version += 1;
    },
    isFresh: () => confirmation.isFresh(now(), MAX_CONFIRMATION_AGE),
    /** Applies a reading that a relay made `ago` milliseconds ago. */
    receiveReading: (
      ago: number,
      newestChange = version,
      copy?: ConfigurationCopy,
    ) =>
      follower.receive(
        {
          revision: version,
          newestChange,
          storeTime: now() - ago + STORE_OFFSET,
          configurationRevision: newestChange,
          evacuatedZones: [],
        },
        copy,
      ),
    held: () => copies.newestRevision(),
    evacuate: (zone: string) => writeEvacuation(zone, true),
    endEvacuation: (zone: string) => writeEvacuation(zone, false),
    evacuated: () => evacuations.zones().map(({zone}) => zone),
    logged,
    /**
     * Applies a relayed reading with an evacuation in the row of this revision.
     */
    receiveEvacuation: (zone: string, revision: number) =>
      follower.receive({
        revision,
        newestChange: revision,
        storeTime: now() + STORE_OFFSET,
        configurationRevision: copies.newestRevision(),
        evacuatedZones: [{zone, revision}],
      }),
    evacuationsAge: () => now() - (follower.evacuationsReadAt() ?? -Infinity),
  };
}

function documentOf(version: number) {
  return {revision: version, text: Buffer.from(String(version))};
}

/** A copy of the configuration from a relay that holds `versions`. */
function copyOf(versions: readonly number[], base: number) {
  const copies = createConfigurationCopies();
  for (const version of versions) copies.add(documentOf(version));
  return copies.write(base);
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

test('queries the store rarely while a relay sends its readings', async () => {
  const site = startFollower(() => 'zoneRelay');
  await vi.advanceTimersByTimeAsync(100);
  for (let round = 0; round < 120; round += 1) {
    site.receiveReading(5);
    expect(site.isFresh()).toBe(true);
    await vi.advanceTimersByTimeAsync(500);
  }
  // One every 20 s, to relate the store's clock to the local one.
  expect(site.queries()).toBeLessThanOrEqual(3);
});

test('reads a configuration at once that its relay announces', async () => {
  const site = startFollower(() => 'zoneRelay');
  await vi.advanceTimersByTimeAsync(100);
  site.write();
  site.receiveReading(5);
  await vi.advanceTimersByTimeAsync(50);
  expect(site.follower.table()?.version).toBe(2);
});

// A key is revoked, and only this entry is disconnected from the store. That
// the relay has just read the table must not confirm the old configuration.
test('a relay does not confirm a configuration that is older than what it has read', async () => {
  const site = startFollower(() => 'zoneRelay');
  await vi.advanceTimersByTimeAsync(100);
  site.cut();
  for (let second = 0; second < 6; second += 1) {
    site.receiveReading(5, 2);
    await vi.advanceTimersByTimeAsync(1_000);
  }
  expect(site.follower.table()?.version).toBe(1);
  expect(site.isFresh()).toBe(false);
});

// A change of one route writes a configuration of 0.35 MB. If each entry read it
// from the store, that would fill links between regions that carry 2 MB a
// second. So the relay sends it.
test('adopts a configuration from its relay without querying the store', async () => {
  const site = startFollower(() => 'zoneRelay');
  await vi.advanceTimersByTimeAsync(100);
  for (const version of [2, 3, 4]) {
    site.write();
    const copy = copyOf([version - 1, version], version - 1);
    site.receiveReading(5, version, copy);
    expect(site.follower.table()?.version).toBe(version);
    expect(site.isFresh()).toBe(true);
    await vi.advanceTimersByTimeAsync(300);
  }
  expect(site.queries()).toBe(0);
});

// An entry missed the configuration that the relay's copy is based on. It must
// not confirm what it holds, and reads the table itself.
test('reads the store if a copy is based on a configuration that it does not hold', async () => {
  const site = startFollower(() => 'zoneRelay');
  await vi.advanceTimersByTimeAsync(100);
  site.write();
  site.write();
  site.receiveReading(5, 3, copyOf([2, 3], 2));
  expect(site.follower.table()?.version).toBe(1);
  await vi.advanceTimersByTimeAsync(50);
  expect(site.follower.table()?.version).toBe(3);
  expect(site.held()).toBe(3);
});

// Changes come every 60 ms. Read one by one, each costs 30 ms of CPU time at
// this entry and at every follower, and requests wait behind them.
test('configurations in quick succession are read together', async () => {
  const site = startFollower(() => 'store');
  await vi.advanceTimersByTimeAsync(1_000);
  const before = site.queries();
  for (let change = 0; change < 50; change += 1) {
    site.write();
    await vi.advanceTimersByTimeAsync(60);
  }
  expect(site.queries() - before).toBeLessThanOrEqual(30);
  await vi.advanceTimersByTimeAsync(CONFIGURATION_BOUND / 4);
  expect(site.follower.table()?.version).toBe(51);
});

// A relay freezes before it sends updates, and sends them four seconds later.
test('delayed updates of a relay confirm nothing, and the store is queried', async () => {
  const site = startFollower(() => 'zoneRelay');
  await vi.advanceTimersByTimeAsync(100);
  const before = site.queries();
  for (let second = 0; second < 10; second += 1) {
    site.receiveReading(4_000);
    await vi.advanceTimersByTimeAsync(1_000);
    expect(site.isFresh()).toBe(true);
  }
  expect(site.queries()).toBeGreaterThan(before);
});

test('queries the store itself when its relay has fallen silent', async () => {
  let source: TableSource = 'zoneRelay';
  const site = startFollower(() => source);
  await vi.advanceTimersByTimeAsync(1_000);
  source = 'store';
  await vi.advanceTimersByTimeAsync(20_000);
  expect(site.queries()).toBeGreaterThanOrEqual(45);
  expect(site.queries()).toBeLessThanOrEqual(55);
  expect(site.isFresh()).toBe(true);
});

// The answer to the relay's query is lost, and the relay misses changes until
// the query times out 0.8 s later. A follower once used a removed route 0.6 s
// after the bound of 2 s.
test('reads a configuration within its bound though the relay misses it', async () => {
  for (const writtenAt of [5_000, 5_100, 5_250, 5_400]) {
    stopped.abort();
    stopped = new AbortController();
    const site = startFollower(() => 'zoneRelay');
    for (let now = 0; now < writtenAt; now += 50) {
      if (now % 400 === 0 && now > 0) site.receiveReading(5);
      await vi.advanceTimersByTimeAsync(50);
    }
    site.write();
    await vi.advanceTimersByTimeAsync(CONFIGURATION_BOUND / 2);
    expect(site.follower.table()?.version).toBe(2);
  }
});

// The operator's newest configuration is unreadable. An entry that queries
// again at once after each answer would send a hundred queries a second.
test('queries at a steady rate while the newest configuration is unusable', async () => {
  for (const source of ['store', 'siteReader', 'zoneRelay'] as const) {
    stopped.abort();
    stopped = new AbortController();
    const site = startFollower(() => source);
    await vi.advanceTimersByTimeAsync(100);
    site.writeUnusable();
    await vi.advanceTimersByTimeAsync(10_000);
    expect(site.queries()).toBeLessThanOrEqual(30);
  }
});

test('the bound of a named version counts from its naming though the answer is late', async () => {
  const site = startFollower(() => 'store');
  await vi.advanceTimersByTimeAsync(1_000);
  site.delayAnswers(1_300);
  site.name();
  await vi.advanceTimersByTimeAsync(VERSION_BOUND - 20);
  expect(site.minVersion()).toBeUndefined();
  await vi.advanceTimersByTimeAsync(40);
  expect(site.minVersion()).toBe(2);
});

// All processes are killed six seconds after a naming. Counted from the first
// reading after the restart, the bound would end six seconds too late.
test('the bound of a recorded naming survives a restart of all processes', async () => {
  const before = startFollower(() => 'store');
  await vi.advanceTimersByTimeAsync(100);
  before.name();
  await vi.advanceTimersByTimeAsync(6_000);
  expect(before.recorded).toHaveLength(1);
  const after = startFollower(() => 'store');
  await vi.advanceTimersByTimeAsync(100);
  after.name(before.recorded[0]?.namedAt);
  await vi.advanceTimersByTimeAsync(VERSION_BOUND - 6_000 - 200);
  expect(after.minVersion()).toBeUndefined();
  await vi.advanceTimersByTimeAsync(200);
  expect(after.minVersion()).toBe(2);
  expect(after.recorded).toHaveLength(0);
});

// Two versions are named while the link to the store is saturated, and only the
// second one is read.
test('a version that is replaced before it is read has its bound too', async () => {
  const site = startFollower(() => 'store');
  await vi.advanceTimersByTimeAsync(1_000);
  site.setAway(true);
  // The query that waits at the store still confirms what is held.
  await vi.advanceTimersByTimeAsync(1_000);
  const firstNamedAt = Date.now();
  await vi.advanceTimersByTimeAsync(2_000);
  site.name(undefined, 3);
  site.setAway(false);
  await vi.advanceTimersByTimeAsync(firstNamedAt + VERSION_BOUND - Date.now());
  expect(site.minVersion()).toBe(2);
  expect(site.recorded.map(({version}) => version)).toEqual([2, 3]);
  await vi.advanceTimersByTimeAsync(2_000 + 600);
  expect(site.minVersion()).toBe(3);
});

// All processes are killed right after a naming, before it was recorded.
test('a naming is recorded at once, and again if the store did not answer', async () => {
  const site = startFollower(() => 'store');
  await vi.advanceTimersByTimeAsync(1_000);
  site.name();
  await vi.advanceTimersByTimeAsync(100);
  expect(site.recorded).toHaveLength(1);
  await vi.advanceTimersByTimeAsync(10_000);
  expect(site.recorded).toHaveLength(1);
  site.refuseRecords(3);
  site.name(undefined, 3);
  await vi.advanceTimersByTimeAsync(10_000);
  expect(site.recorded).toHaveLength(5);
});

// If all 43 entries recorded a naming, it would cost 43 calls to the store.
test('an entry that follows a relay records no naming', async () => {
  const site = startFollower(() => 'zoneRelay');
  await vi.advanceTimersByTimeAsync(100);
  site.name();
  site.receiveReading(5);
  await vi.advanceTimersByTimeAsync(2_000);
  expect(site.recorded).toHaveLength(0);
});

test('an entry that starts knows the evacuations with its first configuration', async () => {
  const site = startFollower(() => 'store');
  site.evacuate('south');
  expect(site.follower.table()).toBeUndefined();
  await vi.advanceTimersByTimeAsync(20);
  expect(site.follower.table()).toBeDefined();
  expect(site.evacuated()).toEqual(['south']);
});

test('each evacuation that begins or ends is logged, also if evacuations overlap', async () => {
  const site = startFollower(() => 'store');
  await vi.advanceTimersByTimeAsync(100);
  site.evacuate('south');
  site.evacuate('west');
  await vi.advanceTimersByTimeAsync(400);
  expect(site.evacuated()).toEqual(['south', 'west']);
  site.endEvacuation('south');
  await vi.advanceTimersByTimeAsync(400);
  expect(site.evacuated()).toEqual(['west']);
  site.evacuate('south');
  await vi.advanceTimersByTimeAsync(400);
  expect(site.evacuated()).toEqual(['west', 'south']);
  const lines = site.logged.filter(line => line.startsWith('zone'));
  expect(lines).toHaveLength(4);
});

// The relayed reading confirms only the configuration, so without the
// evacuations in it an entry would keep sending to the zone until it queries
// the store itself.
test('an evacuation is applied from a relayed reading', async () => {
  const site = startFollower(() => 'zoneRelay');
  await vi.advanceTimersByTimeAsync(100);
  site.receiveEvacuation('south', 2);
  expect(site.evacuated()).toEqual(['south']);
});

test('an evacuation is known though the newest configuration is not held', async () => {
  const site = startFollower(() => 'zoneRelay');
  await vi.advanceTimersByTimeAsync(100);
  site.cut();
  site.follower.receive({
    revision: 3,
    newestChange: 3,
    storeTime: Date.now() + STORE_OFFSET,
    configurationRevision: 2,
    evacuatedZones: [{zone: 'south', revision: 3}],
  });
  expect(site.evacuated()).toEqual(['south']);
});

test('readings of evacuations age while the relay and the store are silent', async () => {
  const site = startFollower(() => 'zoneRelay');
  await vi.advanceTimersByTimeAsync(100);
  site.receiveReading(5);
  site.cut();
  await vi.advanceTimersByTimeAsync(6_000);
  expect(site.evacuationsAge()).toBeGreaterThanOrEqual(6_000);
});

test('an evacuated zone that is not known is logged once', async () => {
  const site = startFollower(() => 'store');
  await vi.advanceTimersByTimeAsync(100);
  site.evacuate('nowhere');
  await vi.advanceTimersByTimeAsync(4_000);
  expect(site.logged.filter(line => line.includes('not known'))).toHaveLength(
    1,
  );
});

// Without a longer interval, each of 43 entries would query the store twice a
// second while it is unavailable for 8 s, although the relay queries it and
// relays the result.
test.each([
  {source: 'zoneRelay', most: 6},
  {source: 'store', most: 20},
] as const)('queries an unavailable store rarely as $source', async asker => {
  const site = startFollower(() => asker.source);
  await vi.advanceTimersByTimeAsync(100);
  site.receiveReading(5);
  site.setAway(true);
  const before = site.queries();
  await vi.advanceTimersByTimeAsync(8_000);
  const sent = site.queries() - before;
  expect(sent).toBeGreaterThan(asker.most / 2);
  expect(sent).toBeLessThanOrEqual(asker.most);
});

test('an entry whose relay is silent reads a configuration in time once the store is back', async () => {
  for (const backAfter of [3_000, 3_600, 4_100, 4_700]) {
    const site = startFollower(() => 'zoneRelay');
    await vi.advanceTimersByTimeAsync(100);
    site.receiveReading(5);
    site.setAway(true);
    await vi.advanceTimersByTimeAsync(backAfter);
    site.setAway(false);
    site.write();
    await vi.advanceTimersByTimeAsync(CONFIGURATION_BOUND);
    expect(site.follower.table()?.version).toBe(2);
  }
});
