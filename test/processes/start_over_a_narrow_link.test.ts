import type {FleetAgentSettings, FleetEntrySettings} from '@hibiscusbeam/fleet';
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {request} from 'undici';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {isReady, send} from '../fleet/fixtures/host_caller';
import {startHostEngine, type HostEngine} from '../fleet/fixtures/host_engine';
import {
  eventually,
  freeAddress,
  HOST,
  startHostSite,
  type HostSite,
} from '../fleet/fixtures/host_site';
import {
  startAgentProcess,
  startEntryProcess,
  type EntryProcess,
  type FleetProcess,
} from '../soak/fleet_process';
import {startNarrowLink, type NarrowLink} from './narrow_link';

/** The processes of one region, and what its link carries. */
const ENTRIES = 20;
const AGENTS = 13;
const LINK_MEGABITS = 21.7;

const ROUTES = 1_400;

/**
 * Most that a start may read over the link, in copies of the operator's table.
 */
const MAX_COPIES = 8;

const RESTART_PAUSE_MS = 300;

const BOUNDS = {
  configuration: 4_000,
  draining: 4_000,
  version: 9_700,
};

let site: HostSite;
let link: NarrowLink;
let plainTarget: HostEngine;
let engines: readonly HostEngine[];
let entries: readonly EntryProcess[];
let agents: readonly FleetProcess[];
let folder: string;

beforeEach(async () => {
  site = await startHostSite();
  link = await startNarrowLink(site.store.address, LINK_MEGABITS);
  folder = mkdtempSync(join(tmpdir(), 'narrow-link-'));
  plainTarget = await startHostEngine({instance: 'plain'});
  site.register(plainTarget);
  engines = await startEach(AGENTS, index =>
    startHostEngine({instance: `engine-${index}`, version: 1}),
  );
  for (const engine of engines) {
    site.register(engine, {
      Service: 'engines',
      Models: [{Name: 'model', Version: 1, Adapters: []}],
    });
  }
  site.configure({}, routes());
  entries = await startEach(ENTRIES, async () => {
    const settings = overLink(await site.entrySettings());
    return startEntryProcess({settings, folder, pause: RESTART_PAUSE_MS});
  });
  agents = await startEach(AGENTS, async index => {
    const settings = await agentSettings(index);
    return startAgentProcess({settings, folder, pause: RESTART_PAUSE_MS});
  });
});

afterEach(async () => {
  await Promise.all([...entries, ...agents].map(each => each.close()));
  await Promise.all([plainTarget, ...engines].map(engine => engine.close()));
  await link.close();
  await site.close();
  rmSync(folder, {recursive: true});
});

// Each process read the operator's table itself, so that no read ended in time.
test('a region that starts anew reads a few copies of the table over its link', async () => {
  await untilServed(1);
  const table = await tableSize();
  const before = link.delivered();
  for (const each of [...entries, ...agents]) each.signal('SIGKILL');
  await untilServed(2);
  const copies = (link.delivered() - before) / table;
  expect(copies).toBeLessThanOrEqual(MAX_COPIES);
}, 180_000);

function startEach<Started>(
  count: number,
  start: (index: number) => Promise<Started>,
): Promise<readonly Started[]> {
  return Promise.all(Array.from({length: count}, (_, index) => start(index)));
}

function overLink(settings: FleetEntrySettings): FleetEntrySettings {
  return {
    ...settings,
    store: {...settings.store, address: link.address},
    bounds: {...settings.bounds, ...BOUNDS},
  };
}

async function agentSettings(index: number): Promise<FleetAgentSettings> {
  const {region, zone, logLevel, store, bounds} = overLink(
    await site.entrySettings(),
  );
  return {
    role: 'agent',
    instance: `agent-${index}`,
    region,
    zone,
    logLevel,
    store,
    bounds,
    peerAddress: await freeAddress(),
    engine: {address: engines[index]!.address, service: 'engines'},
  };
}

function routes(): readonly object[] {
  return Array.from({length: ROUTES}, (_, index) => ({
    Host: `host-${index}.example`,
    Name: `route-${index}`,
    Prefix: `/route-${index}/`,
    Kind: 'safe',
    Service: 'plain',
    TimeoutMs: 3_000,
    TargetLatencyMs: 400,
    MaxAttempts: 2,
  }));
}

/** Waits until the processes of this life know all they need, and serve. */
async function untilServed(life: number): Promise<void> {
  await eventually(() =>
    [...entries, ...agents].every(each => completeStarts(each) >= life),
  );
  for (const entry of entries) {
    await eventually(() => isReady(entry.readinessAddress).catch(() => false));
    await eventually(async () => {
      const {status} = await send(entry.callerAddress, '/safe/a');
      return status === 200;
    });
  }
}

function completeStarts(each: FleetProcess): number {
  return each.output().split('start complete').length - 1;
}

/** Bytes of one answer with the whole table. */
async function tableSize(): Promise<number> {
  const query = new URLSearchParams({Table: 'op', part: ''});
  const url = `http://${site.store.address}/rows-get?${query}`;
  const reply = await request(url, {headers: {host: HOST}});
  return (await reply.body.arrayBuffer()).byteLength;
}
