import {afterEach, beforeEach, expect, test} from 'vitest';
import {isReady, send} from './fixtures/host_caller';
import {startHostEngine, type HostEngine} from './fixtures/host_engine';
import {eventually, startHostSite, type HostSite} from './fixtures/host_site';

const RATE = 4;
const SECONDS = 3;
const COLD_MS = 60_000;

let site: HostSite;
let cold: HostEngine;
let warm: HostEngine;
let address: string;

beforeEach(async () => {
  site = await startHostSite();
  cold = await startHostEngine({instance: 'cold'});
  warm = await startHostEngine({instance: 'warm'});
  site.register(cold, {ColdRemainingMs: COLD_MS});
  site.register(warm);
  const Services = [{Name: 'plain', ColdStartS: 60, ColdPerS: RATE}];
  site.configure({Services});
  const {settings} = await site.startEntry();
  address = settings.callerAddress;
  await eventually(() => isReady(settings.readinessAddress));
  await eventually(async () => (await send(address, '/safe/a')).status === 200);
});

afterEach(async () => {
  await site.close();
  await Promise.all([cold, warm].map(engine => engine.close()));
});

function sendPair() {
  return Promise.all([send(address, '/safe/a'), send(address, '/safe/a')]);
}

test('a cold target gets requests at its rate, and more once it is warm', async () => {
  const until = performance.now() + SECONDS * 1_000;
  while (performance.now() < until) await sendPair();
  const took = performance.now() - until + SECONDS * 1_000;
  const whileCold = cold.runs.length;
  expect(whileCold).toBeGreaterThan(0);
  expect(whileCold).toBeLessThanOrEqual(1.5 * RATE * (took / 1_000) + 5);
  site.register(cold, {ColdRemainingMs: 0, Sequence: 2});
  await eventually(() =>
    site.lines.some(({message}) => message === 'target is cold no longer'),
  );
  await eventually(async () => {
    await sendPair();
    return cold.runs.length > whileCold + 60;
  });
});
