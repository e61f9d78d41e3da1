import {afterEach, beforeEach, expect, test} from 'vitest';
import {isReady, send} from './fixtures/host_caller';
import {startHostEngine, type HostEngine} from './fixtures/host_engine';
import type {StoreSnapshot} from './fixtures/host_store';
import {
  eventually,
  HOST,
  startHostSite,
  type HostSite,
} from './fixtures/host_site';

const DRAINING = 1_000;
const CONFIGURATION = 2_000;

/** Longer than a heartbeat of the targets. */
const AWAY = 1_500;

/** Time in which lapsed targets may come back. */
const RETURN = 2_000;

const PAIRS = 15;

/** Writes that the restored store has lost, or has received since. */
const WRITES = 50;

let site: HostSite;
let engines: readonly HostEngine[];
let address: string;

beforeEach(async () => {
  site = await startHostSite();
  engines = await Promise.all(
    ['one', 'two'].map(instance => startHostEngine({instance})),
  );
  for (const engine of engines) site.register(engine);
  site.configure();
  const {settings} = await site.startEntry({draining: DRAINING});
  address = settings.callerAddress;
  await eventually(() => isReady(settings.readinessAddress));
  await eventually(async () => (await send(address, '/safe/a')).status === 200);
});

afterEach(async () => {
  await site.close();
  await Promise.all(engines.map(engine => engine.close()));
});

/** Writes rows that no fleet process reads, so that versions grow. */
function writeOthers(): void {
  for (let written = 0; written < WRITES; written += 1) {
    site.store.write('others', 'row', written);
  }
}

/** Loses writes after the entry has seen their versions. */
async function loseLastWrites(): Promise<void> {
  const copy = await snapshotAndWrite();
  site.store.restore(copy);
}

async function snapshotAndWrite(): Promise<StoreSnapshot> {
  const copy = site.store.copy();
  writeOthers();
  await pass(DRAINING);
  return copy;
}

/** Statuses of request pairs, for which one target isn't enough. */
async function sendPairs(): Promise<ReadonlySet<number>> {
  const statuses = new Set<number>();
  for (let sent = 0; sent < PAIRS; sent += 1) {
    const pair = [send(address, '/safe/a'), send(address, '/safe/a')];
    for (const {status} of await Promise.all(pair)) statuses.add(status);
  }
  return statuses;
}

function pass(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}

test('a target that leaves after the store was restored gets no more requests', async () => {
  const [leaving] = engines;
  await loseLastWrites();
  site.register(leaving!, {State: 'draining', Sequence: 2});
  await pass(DRAINING);
  const before = leaving!.arrivals.length;
  expect(await sendPairs()).toEqual(new Set([200]));
  expect(leaving!.arrivals.length).toBe(before);
});

test('a target that left does not come back once a restored store has caught up', async () => {
  const [left] = engines;
  const copy = await snapshotAndWrite();
  site.store.setFault('busy');
  await pass(AWAY);
  site.store.restore(copy);
  site.store.setFault('none');
  await pass(RETURN + DRAINING);
  site.store.remove('servers', left!.instance);
  await pass(DRAINING);
  writeOthers();
  writeOthers();
  await pass(DRAINING / 2);
  const before = left!.arrivals.length;
  expect(await sendPairs()).toEqual(new Set([200]));
  expect(left!.arrivals.length).toBe(before);
});

test('a target that a restored store has lost keeps getting requests', async () => {
  const [lost] = engines;
  site.store.remove('servers', lost!.instance);
  await pass(DRAINING);
  const copy = site.store.copy();
  site.register(lost!);
  await pass(DRAINING);
  site.store.restore(copy);
  await pass(DRAINING);
  const before = lost!.arrivals.length;
  expect(await sendPairs()).toEqual(new Set([200]));
  expect(lost!.arrivals.length).toBeGreaterThan(before);
});

test('a configuration written after the store was restored is in force', async () => {
  await loseLastWrites();
  site.configure({
    Routes: [
      {
        Host: HOST,
        Name: 'added',
        Prefix: '/added/',
        Kind: 'safe',
        Service: 'plain',
        TimeoutMs: 3_000,
        TargetLatencyMs: 400,
        MaxAttempts: 2,
      },
    ],
  });
  writeOthers();
  writeOthers();
  await pass(CONFIGURATION);
  expect((await send(address, '/added/a')).status).toBe(200);
});
