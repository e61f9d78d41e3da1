import {afterEach, beforeEach, expect, test} from 'vitest';
import {isReady, send} from './fixtures/host_caller';
import {startHostEngine, type HostEngine} from './fixtures/host_engine';
import {
  eventually,
  HOST,
  KEY,
  startHostSite,
  type HostSite,
} from './fixtures/host_site';

const ROUNDS = 8;

let site: HostSite;
let north: HostEngine;
let south: HostEngine;
let address: string;
let directory: string;

beforeEach(async () => {
  site = await startHostSite();
  north = await startHostEngine({instance: 'north-1'});
  south = await startHostEngine({instance: 'south-1'});
  site.register(north);
  site.register(south, {Zone: 'south'});
  site.configure();
  const {settings} = await site.startEntry();
  address = settings.callerAddress;
  directory = settings.directoryAddress;
  await eventually(() => isReady(settings.readinessAddress));
  await eventually(async () => (await send(address, '/safe/a')).status === 200);
});

afterEach(async () => {
  await site.close();
  await Promise.all([north, south].map(engine => engine.close()));
});

function bindTo(route: readonly string[], workspace: readonly string[] = []) {
  const bound = {
    Name: 'bound',
    Host: HOST,
    Prefix: '/bound/',
    Kind: 'safe',
    Service: 'plain',
    TimeoutMs: 3_000,
    TargetLatencyMs: 400,
    MaxAttempts: 2,
    AllowedRegions: route,
  };
  const shop = {Name: 'shop', ApiKeys: [KEY], Priority: 1};
  const Tenants = [{...shop, AllowedRegions: workspace}];
  site.configure({Tenants}, [bound]);
}

test('requests of a route only go to targets in its allowed regions', async () => {
  bindTo(['inland']);
  await eventually(
    async () => (await send(address, '/bound/a')).status === 200,
  );
  const before = north.runs.length;
  for (let round = 0; round < ROUNDS; round += 1) {
    expect((await send(address, '/bound/a')).status).toBe(200);
  }
  expect(north.runs.length).toBe(before);
});

test('a request without any allowed region is refused at once, and a warning is logged', async () => {
  bindTo(['inland'], ['north']);
  const {text, headers} = await eventually(async () => {
    const reply = await send(address, '/bound/a');
    return reply.status === 503 && reply;
  });
  expect(text).toBe('noAllowedRegion\n');
  expect(Number(headers['retry-after'])).toBeGreaterThan(0);
  const refused = site.lines.filter(
    ({message, fields}) =>
      message === 'answered here' &&
      JSON.stringify(fields).includes('noAllowedRegion'),
  );
  expect(refused.length).toBeGreaterThan(0);
  const warnings = site.lines.filter(({message}) =>
    message.startsWith('no region is allowed'),
  );
  expect(warnings).toMatchObject([
    {fields: {conflicts: [{route: 'bound', workspace: 'shop'}]}},
  ]);
});

// A request waits for the only target of its region, while its route is bound
// to another region.
test('a waiting request uses the newest configuration', async () => {
  bindTo(['inland']);
  await eventually(
    async () => (await send(address, '/bound/a')).status === 200,
  );
  south.setFault({kind: 'full'});
  const before = north.runs.length;
  site.store.remove('servers', south.instance);
  await eventually(() =>
    site.lines.some(({message}) => message === 'target gone'),
  );
  const waiting = send(address, '/bound/a', {
    'x-hibiscusbeam-deadline-ms': '3000',
  });
  // Enough time for it to reach the entry, where it waits longer.
  await new Promise(resolve => setTimeout(resolve, 100));
  bindTo(['north']);
  expect((await waiting).status).toBe(200);
  expect(north.runs.length).toBeGreaterThan(before);
});

test('the directory answers a caller of another region', async () => {
  const query = `Name=${HOST}&Region=inland&Zone=south`;
  const reply = await fetch(`http://${directory}/resolve?${query}`);
  expect(await reply.json()).toMatchObject({Addresses: [address]});
});
