import {afterEach, beforeEach, expect, test} from 'vitest';
import {isReady, send} from './fixtures/host_caller';
import {startHostEngine, type HostEngine} from './fixtures/host_engine';
import {eventually, startHostSite, type HostSite} from './fixtures/host_site';

const PAIRS = 15;

let site: HostSite;
let leaving: HostEngine;
let staying: HostEngine;
let address: string;

beforeEach(async () => {
  site = await startHostSite();
  leaving = await startHostEngine({instance: 'leaving'});
  staying = await startHostEngine({instance: 'staying'});
  for (const engine of [leaving, staying]) site.register(engine);
  site.configure();
  const {settings} = await site.startEntry();
  address = settings.callerAddress;
  await eventually(() => isReady(settings.readinessAddress));
  await eventually(async () => (await send(address, '/safe/a')).status === 200);
});

afterEach(async () => {
  await site.close();
  await Promise.all([leaving, staying].map(engine => engine.close()));
});

/** Sends two requests at the same time, so that both targets are needed. */
async function sendPair(): Promise<readonly number[]> {
  const replies = [send(address, '/safe/a'), send(address, '/safe/a')];
  return (await Promise.all(replies)).map(({status}) => status);
}

async function sendPairs(): Promise<readonly number[]> {
  const statuses: number[] = [];
  for (let sent = 0; sent < PAIRS; sent += 1) {
    statuses.push(...(await sendPair()));
  }
  return statuses;
}

async function sendUntilItReaches(engine: HostEngine): Promise<void> {
  const before = engine.arrivals.length;
  await eventually(async () => {
    await sendPair();
    return engine.arrivals.length > before;
  });
}

test('a target that announces in its answers that it is leaving gets no more requests', async () => {
  leaving.setLeaving(true);
  await sendUntilItReaches(leaving);
  const before = leaving.arrivals.length;
  expect(new Set(await sendPairs())).toEqual(new Set([200]));
  expect(leaving.arrivals.length).toBe(before);
});
