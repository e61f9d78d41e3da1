import type {EngineReport} from '@hibiscusbeam/wire';
import {afterEach, expect, test} from 'vitest';
import {openPeerServer} from '../../packages/fleet/src/link/peer_server';
import {createMemberTable} from '../../platform/member_table';
import {createStoreClient} from '../../platform/store_client';
import {
  startHostEngine,
  startHostOrigin,
  type HostEngine,
  type HostOrigin,
} from './fixtures/host_engine';
import {
  eventually,
  freeAddress,
  startHostSite,
  type HostSite,
} from './fixtures/host_site';

const MAX_PEERS = 10;

/** Time between the report of a load and its order, in milliseconds. */
const DRAIN_BEFORE_LOAD = 80;

const closers: (() => void | Promise<void>)[] = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) await close();
});

/** Starts an entry that only records what engines report. */
async function startListener(
  site: HostSite,
  onReport: (report: EngineReport) => void,
): Promise<void> {
  const address = await freeAddress();
  const server = await openPeerServer(
    address,
    {
      role: 'entry',
      handlers: {
        reportEngine: call => void call.on('data', onReport),
        follow: call => call.end(),
      },
    },
    MAX_PEERS,
  );
  closers.push(server.close);
  const table = createMemberTable(createStoreClient(site.store.address));
  const written = await table.put(
    {
      instance: 'listener',
      role: 'entry',
      zone: 'north',
      address,
      callerAddress: address,
      life: 'life of the listener',
    },
    1_000,
  );
  expect(written.ok).toBe(true);
}

async function startSite(origin: HostOrigin): Promise<HostSite> {
  const site = await startHostSite(origin);
  closers.push(site.close);
  site.configure();
  return site;
}

// A request that reaches an engine right after the order to load version 2
// waits there until the running requests have ended and the load is done. It
// then starts on version 2 after the bound of version 3. So the entries must be
// informed first that the engine accepts no more requests.
test('entries are informed of a load before the engine is ordered to load', async () => {
  let newest = 1;
  const origin = await startHostOrigin(6, () => newest);
  closers.push(origin.close);
  const site = await startSite(origin);
  const events: string[] = [];
  const engine = await startHostEngine({
    instance: 'one',
    version: 1,
    onOrder: () => void events.push('order'),
  });
  closers.push(engine.close);
  let reports = 0;
  await startListener(site, ({ordering}) => {
    reports += 1;
    if (ordering && !events.includes('closed')) events.push('closed');
  });
  await site.startAgent(engine);
  await eventually(() => reports > 0);
  newest = 2;
  site.store.write('op', 'version/model', {Model: 'model', Version: 2});
  await eventually(() => engine.held() === 2);
  expect(events).toEqual(['closed', 'order']);
});

// The entries may have sent it requests again by then.
test('an engine is not ordered to load right after its agent was stalled', async () => {
  const stall = 1_500;
  let newest = 1;
  const origin = await startHostOrigin(6, () => newest);
  closers.push(origin.close);
  const site = await startSite(origin);
  let wakeAt: number | undefined;
  let orderedAt: number | undefined;
  const engine = await startHostEngine({
    instance: 'one',
    version: 1,
    onOrder: () => (orderedAt = performance.now()),
  });
  closers.push(engine.close);
  let reports = 0;
  await startListener(site, ({ordering}) => {
    reports += 1;
    if (!ordering || wakeAt !== undefined) return;
    wakeAt = performance.now() + stall;
    while (performance.now() < wakeAt);
  });
  await site.startAgent(engine);
  await eventually(() => reports > 0);
  newest = 2;
  site.store.write('op', 'version/model', {Model: 'model', Version: 2});
  await eventually(() => engine.held() === 2);
  expect(orderedAt! - wakeAt!).toBeGreaterThanOrEqual(DRAIN_BEFORE_LOAD);
});

test('an engine that is silent when it gets a load order gets the order only once', async () => {
  let newest = 1;
  const origin = await startHostOrigin(6, () => newest);
  closers.push(origin.close);
  const site = await startSite(origin);
  let orders = 0;
  let wasSilent = false;
  const engine: HostEngine = await startHostEngine({
    instance: 'one',
    version: 1,
    onOrder: () => void (orders += 1),
    onOrderCall: () => {
      if (!wasSilent) engine.fallSilent(1_500);
      wasSilent = true;
    },
  });
  closers.push(engine.close);
  await site.startAgent(engine);
  newest = 2;
  site.store.write('op', 'version/model', {Model: 'model', Version: 2});
  await eventually(() => engine.held() === 2);
  const sent = origin.sent.length;
  newest = 3;
  site.store.write('op', 'version/model', {Model: 'model', Version: 3});
  await eventually(() => engine.held() === 3);
  expect({orders, sent: origin.sent.length - sent}).toEqual({
    orders: 2,
    sent: 6,
  });
});

test('an engine that accepts a late order with a corrupted chunk is reported as accepting nothing', async () => {
  let newest = 1;
  const origin = await startHostOrigin(6, () => newest);
  closers.push(origin.close);
  const site = await startSite(origin);
  let isAccepted = false;
  const openReports: EngineReport[] = [];
  const engine: HostEngine = await startHostEngine({
    instance: 'one',
    version: 1,
    onOrder: () => {
      isAccepted = true;
      engine.staged.set(2, Buffer.from('corrupted'));
    },
    onOrderCall: () => engine.fallSilent(1_500),
  });
  closers.push(engine.close);
  let reports = 0;
  await startListener(site, report => {
    reports += 1;
    if (isAccepted && !report.ordering) openReports.push(report);
  });
  await site.startAgent(engine);
  await eventually(() => reports > 0);
  newest = 2;
  site.store.write('op', 'version/model', {Model: 'model', Version: 2});
  await eventually(() => engine.held() === 2);
  await eventually(() =>
    site.lines.some(
      ({message}) => message === 'may have loaded corrupted chunks',
    ),
  );
  const before = reports;
  await eventually(() => reports > before + 1);
  expect(openReports).toEqual([]);
});
