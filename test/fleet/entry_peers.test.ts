import {
  createQuarantine,
  createRateLimits,
  createSiteDemand,
  relayOrder,
} from '@hibiscusbeam/core';
import type {EngineReport} from '@hibiscusbeam/wire';
import {afterEach, expect, test} from 'vitest';
import {createEntryPeers} from '../../packages/fleet/src/entry/entry_peers';
import type {RelayUpdate} from '../../packages/fleet/src/entry/relay_updates';
import type {TableSource} from '../../packages/fleet/src/entry/operator_follower';
import {createConfigurationCopies} from '../../packages/fleet/src/link/configuration_copies';
import {openPeerServer} from '../../packages/fleet/src/link/peer_server';
import {createSiteRecords} from '../../packages/fleet/src/link/site_records';
import type {MemberDescription} from '../../packages/fleet/src/ports';
import {eventually, freeAddress} from './fixtures/host_site';
import {errorFreeLog} from '../fixtures/error_free_log';

const MAX_PEERS = 10;

const closing: (() => void)[] = [];

afterEach(() => {
  for (const close of closing.splice(0)) close();
});

const report: EngineReport = {
  engineAddress: '10.0.0.1:80',
  loaded: [],
  ordering: false,
  running: 3,
  waiting: 0,
  pace: 1,
  sequence: 1,
  namings: [],
};

interface EntryOptions {
  readonly distance?: number;
  readonly address?: string;
  readonly takeoverDelay?: number;
}

async function startEntry(
  instance: string,
  zone: string,
  {distance = 5, address, takeoverDelay = 0}: EntryOptions = {},
) {
  const self: MemberDescription = {
    instance,
    zone,
    role: 'entry',
    address: address ?? (await freeAddress()),
    life: `${instance}-1`,
  };
  let follows = 0;
  let ready = true;
  const reports: EngineReport[] = [];
  const updates: RelayUpdate[] = [];
  const copies = createConfigurationCopies();
  const quarantine = createQuarantine();
  const limits = createRateLimits(() => performance.now());
  const demand = createSiteDemand({
    zone,
    own: () => [{service: 'engines', priority: 1, places: 2, waiting: 1}],
    entries: () => 1,
    followsRelay: () => !entryPeers.readsTargets(),
  });
  const entryPeers = createEntryPeers({
    self,
    isReady: () => ready,
    clock: () => performance.now(),
    log: errorFreeLog,
    namings: () => [],
    onNamings: () => undefined,
    onReports: taken => reports.push(...taken),
    copies,
    records: createSiteRecords(quarantine, limits),
    demands: {
      own: () => [{service: 'engines', priority: 1, places: 2, waiting: 1}],
      zones: () => demand.zones(performance.now()),
      recordFollower: (follower, demands) =>
        demand.recordFollower(follower, demands, performance.now()),
      recordZones: demand.recordZones,
    },
    storeDistance: () => distance,
    onTables: update => void updates.push(update),
    onUsable: () => undefined,
    maxRelaySearch: 60_000,
    takeoverDelay,
    onRelaySearched: () => undefined,
  });
  const server = await openPeerServer(
    self.address,
    {
      role: 'entry',
      handlers: {
        reportEngine: call => call.end(),
        follow: call => {
          follows += 1;
          entryPeers.relayServer.handleStream(call);
        },
      },
    },
    MAX_PEERS,
  );
  const stop = entryPeers.start();
  const close = (): void => {
    stop();
    server.close();
  };
  closing.push(close);
  return {
    self,
    entryPeers,
    places: () => demand.demandFor('engines', performance.now()).get(1),
    reports,
    updates,
    copies,
    quarantine,
    limits,
    close,
    follows: () => follows,
    setReady: (next: boolean) => (ready = next),
    usable: () => entryPeers.usable().map(member => member.instance),
  };
}

type Entry = Awaited<ReturnType<typeof startEntry>>;

async function startSite(perZone: number): Promise<readonly Entry[]> {
  const entries = await Promise.all(
    ['north', 'south'].flatMap(zone =>
      Array.from({length: perZone}, (_, index) =>
        startEntry(`${zone}-${index}`, zone),
      ),
    ),
  );
  for (const entry of entries) {
    entry.entryPeers.setMembers(
      entries.filter(other => other !== entry).map(other => other.self),
    );
  }
  return entries;
}

/** The entry that the others of its zone follow. */
function relayOf(entries: readonly Entry[], zone: string): Entry {
  const inZone = entries.filter(entry => entry.self.zone === zone);
  return inZone.find(entry => entry.entryPeers.readsTargets())!;
}

async function untilSettled(entries: readonly Entry[]): Promise<void> {
  await eventually(
    () =>
      sourcesOf(entries).every(source => source !== 'undecided') &&
      entries.filter(entry => entry.entryPeers.readsTargets()).length === 2,
  );
}

function sourcesOf(entries: readonly Entry[]): readonly TableSource[] {
  return entries.map(entry => entry.entryPeers.operatorSource());
}

// Each entry of a starting site read the store until it had found its relay.
test('an entry that starts reads nothing before its relay has answered', async () => {
  const lone = await startEntry('east-0', 'east');
  expect(lone.entryPeers.operatorSource()).toBe('undecided');
  expect(lone.entryPeers.readsTargets()).toBe(false);
  lone.entryPeers.setMembers([]);
  expect(lone.entryPeers.operatorSource()).toBe('store');
  const entries = await startSite(5);
  const sources = sourcesOf(entries);
  expect(sources.filter(source => source === 'undecided')).toHaveLength(8);
  await untilSettled(entries);
  expect(sourcesOf(entries).filter(source => source === 'zoneRelay')).toEqual(
    sources.filter(source => source === 'undecided').map(() => 'zoneRelay'),
  );
});

// Entries that had started before their relay all read the store.
test('an entry that listens before its relay waits for it instead of taking over', async () => {
  const names = ['north-0', 'north-1'].map(instance => ({
    instance,
    zone: 'north',
  }));
  const [first, second] = relayOrder(names, 'north');
  const address = await freeAddress();
  const entry = await startEntry(second!.instance, 'north', {
    takeoverDelay: 60_000,
  });
  const {instance} = first!;
  entry.entryPeers.setMembers([
    {...entry.self, instance, address, life: `${instance}-1`},
  ]);
  await new Promise(resolve => setTimeout(resolve, 600));
  expect(entry.entryPeers.operatorSource()).toBe('undecided');
  const relay = await startEntry(instance, 'north', {address});
  relay.entryPeers.setMembers([entry.self]);
  expect(relay.entryPeers.operatorSource()).toBe('store');
  await eventually(() => entry.entryPeers.operatorSource() === 'zoneRelay');
});

test('an entry whose relay starts anew before its first reading does not read the store', async () => {
  const names = ['north-0', 'north-1'].map(instance => ({
    instance,
    zone: 'north',
  }));
  const [first, second] = relayOrder(names, 'north');
  const relay = await startEntry(first!.instance, 'north');
  const entry = await startEntry(second!.instance, 'north', {
    takeoverDelay: 60_000,
  });
  const source = () => entry.entryPeers.operatorSource();
  relay.entryPeers.setMembers([entry.self]);
  entry.entryPeers.setMembers([relay.self]);
  await eventually(() => source() === 'zoneRelay');
  entry.entryPeers.setMembers([{...relay.self, life: 'second'}]);
  expect(source()).toBe('undecided');
  await eventually(() => source() === 'zoneRelay');
  relay.entryPeers.relayServer.setOperator({
    revision: 1,
    newestChange: 0,
    storeTime: 1,
    configurationRevision: 0,
    evacuatedZones: [],
  });
  await eventually(() => entry.updates.some(update => update.operator));
  entry.entryPeers.setMembers([]);
  await eventually(() => source() === 'store');
});

test('an entry whose relays are not reachable reads the store itself', async () => {
  const entry = await startEntry('north-0', 'north');
  const absent = await Promise.all(
    Array.from({length: 5}, async (_, index) => ({
      ...entry.self,
      instance: `absent-${index}`,
      address: await freeAddress(),
      life: `absent-${index}-1`,
    })),
  );
  entry.entryPeers.setMembers(absent);
  await eventually(() => entry.entryPeers.operatorSource() === 'store');
  expect(entry.entryPeers.readsTargets()).toBe(true);
});

test('one entry of a zone reads the store, and the others follow only that entry', async () => {
  const entries = await startSite(5);
  await untilSettled(entries);
  const follows = entries.reduce((sum, entry) => sum + entry.follows(), 0);
  // Four in each zone, and the two relays follow each other.
  expect(follows).toBe(10);
});

test('the status of an entry reaches all zones', async () => {
  const entries = await startSite(3);
  await untilSettled(entries);
  const [first] = entries;
  first!.setReady(false);
  first!.entryPeers.announceSelf();
  await eventually(() =>
    entries.every(
      entry =>
        entry === first || !entry.usable().includes(first!.self.instance),
    ),
  );
  expect(entries.every(entry => entry.usable().length >= 4)).toBe(true);
});

test('a report reaches the entries to which no agent reports', async () => {
  const entries = await startSite(4);
  await untilSettled(entries);
  const relay = relayOf(entries, 'north');
  await new Promise(resolve => setTimeout(resolve, 1_200));
  relay.entryPeers.takeReport(report);
  await eventually(() => entries.every(entry => entry.reports.length === 1));
  expect(entries.every(({reports}) => reports[0]?.running === 3)).toBe(true);
});

// Relays of two zones follow each other, so a report that each forwards to the
// other would circulate forever.
test('a report reaches each entry once, however many entries forward it', async () => {
  const entries = await startSite(4);
  await untilSettled(entries);
  await new Promise(resolve => setTimeout(resolve, 1_200));
  const inZone = entries.filter(entry => entry.self.zone === 'north');
  // Both entries that agents report to receive it.
  const relay = relayOf(entries, 'north');
  relay.entryPeers.takeReport(report);
  inZone.find(entry => entry !== relay)!.entryPeers.takeReport(report);
  await eventually(() => entries.every(entry => entry.reports.length > 0));
  relay.entryPeers.takeReport({...report, sequence: 2, running: 4});
  await eventually(() =>
    entries.every(({reports}) => reports.at(-1)?.running === 4),
  );
  expect(entries.map(({reports}) => reports.length)).toEqual(
    entries.map(() => 2),
  );
});

test('entries of a small zone receive reports of engines in other zones', async () => {
  const entries = await startSite(2);
  await untilSettled(entries);
  const reporting = setInterval(() => {
    // Their own agents report to both.
    for (const {entryPeers, self} of entries) {
      const {zone} = self;
      const sequence = Math.floor(performance.now());
      entryPeers.takeReport({...report, engineAddress: zone, sequence});
    }
  }, 100);
  closing.push(() => clearInterval(reporting));
  const hasReportOf = (entry: Entry, zone: string): boolean =>
    entry.reports.some(({engineAddress}) => engineAddress === zone);
  await eventually(() =>
    entries.every(
      entry => hasReportOf(entry, 'north') && hasReportOf(entry, 'south'),
    ),
  );
});

// After a relay was killed, its followers must still get the reports of agents,
// and callers must not be sent to it.
test('another entry becomes the relay when the relay is lost', async () => {
  const entries = await startSite(4);
  await untilSettled(entries);
  const lost = relayOf(entries, 'north');
  lost.close();
  const others = entries.filter(entry => entry !== lost);
  const inZone = others.filter(entry => entry.self.zone === 'north');
  await eventually(
    () => inZone.filter(entry => entry.entryPeers.readsTargets()).length === 1,
  );
  await eventually(() =>
    others.every(entry => !entry.usable().includes(lost.self.instance)),
  );
  expect(others.every(entry => entry.usable().length === 6)).toBe(true);
});

// If the relay of each zone read each configuration itself, it would use links
// between regions that requests need. So the relay in the store's zone reads
// for all.
test('the relay nearest to the store reads the operator table for all zones', async () => {
  const distances = {north: 6.5, south: 4.3, west: 6.6};
  const entries = await Promise.all(
    Object.entries(distances).flatMap(([zone, distance]) =>
      [1, 2].map(index => startEntry(`${zone}-${index}`, zone, {distance})),
    ),
  );
  for (const entry of entries) {
    const others = entries.filter(other => other !== entry);
    entry.entryPeers.setMembers(others.map(other => other.self));
  }
  let revision = 7;
  let storeTime = 0;
  const readers = () =>
    entries.filter(({entryPeers}) => entryPeers.operatorSource() === 'store');
  const sendReadings = (): void => {
    storeTime += 1;
    for (const {entryPeers, copies} of readers()) {
      copies.add({revision, text: Buffer.from(`configuration ${revision}`)});
      entryPeers.relayServer.setOperator({
        revision,
        newestChange: revision,
        storeTime,
        configurationRevision: revision,
        evacuatedZones: [],
      });
    }
  };
  await eventually(() => {
    sendReadings();
    return readers().length === 1;
  });
  expect(readers()[0]?.self.zone).toBe('south');
  revision = 8;
  sendReadings();
  for (const zone of ['north', 'west']) {
    const relay = relayOf(entries, zone);
    expect(relay.entryPeers.operatorSource()).toBe('siteReader');
    await eventually(() =>
      relay.updates.some(({configuration}) => configuration?.revision === 8),
    );
  }
});

function endTarget(entry: Entry, life: string): void {
  const now = performance.now();
  const ending = {life, sentAt: now, endedAt: now};
  entry.quarantine.recordEnding(['c0ffee'], ending);
  entry.entryPeers.scheduleRecords();
}

const isQuarantined = ({quarantine}: Entry): boolean =>
  quarantine.isQuarantined('c0ffee');

test('crashes seen by three entries of two zones quarantine a request at all entries', async () => {
  const entries = await startSite(3);
  await untilSettled(entries);
  [0, 2, 5].forEach(index => endTarget(entries[index]!, `life-${index}`));
  await eventually(() => entries.every(isQuarantined));
});

test('an entry that joins late learns of all crashes before', async () => {
  const entries = await startSite(2);
  await untilSettled(entries);
  const relay = relayOf(entries, 'north');
  const late = entries.find(
    entry => entry !== relay && entry.self.zone === 'north',
  )!;
  late.entryPeers.setMembers([]);
  for (const life of ['one', 'two', 'three']) endTarget(relay, life);
  late.entryPeers.setMembers(
    entries.filter(entry => entry !== late).map(({self}) => self),
  );
  await eventually(() => isQuarantined(late));
});

test('a complete answer ends the quarantine of a request at all entries', async () => {
  const entries = await startSite(3);
  await untilSettled(entries);
  for (const life of ['one', 'two', 'three']) endTarget(entries[0]!, life);
  await eventually(() => entries.every(isQuarantined));
  const last = entries.at(-1)!;
  last.quarantine.recordAnswer('c0ffee', performance.now());
  last.entryPeers.scheduleRecords();
  await eventually(() => !entries.some(isQuarantined));
});

test('a rate limit that one entry receives reaches all entries, including one that joins late', async () => {
  const entries = await startSite(2);
  await untilSettled(entries);
  const [first, late] = entries;
  late!.entryPeers.setMembers([]);
  first!.limits.recordAnswer({life: 'engine', rate: 2, sentAt: 0});
  first!.entryPeers.scheduleRecords();
  const others = entries.filter(entry => entry !== late);
  const knows = ({limits}: Entry): boolean => limits.rateOf('engine') === 2;
  await eventually(() => others.every(knows));
  late!.entryPeers.setMembers(others.map(({self}) => self));
  await eventually(() => knows(late!));
});

test('all entries know the demand of callers in all zones', async () => {
  const entries = await startSite(3);
  await untilSettled(entries);
  await eventually(() => entries.every(entry => entry.places() === 12));
});
