import {afterEach, beforeEach, expect, test} from 'vitest';
import {isReady, send} from './fixtures/host_caller';
import {startHostEngine, type HostEngine} from './fixtures/host_engine';
import {eventually, startHostSite, type HostSite} from './fixtures/host_site';

const SECOND_MS = 1_000;
const PAUSE_BETWEEN_PAIRS_MS = 25;

const BACKOFF_SECONDS = 4;

/** Requests that may still reach the target during its backoff. */
const MAX_ATTEMPTS = 2;

let site: HostSite;
let shedding: HostEngine;
let calm: HostEngine;
let address: string;

beforeEach(async () => {
  site = await startHostSite();
  shedding = await startHostEngine({instance: 'shedding'});
  calm = await startHostEngine({instance: 'calm'});
  for (const engine of [shedding, calm]) site.register(engine);
  site.configure();
  const {settings} = await site.startEntry();
  address = settings.callerAddress;
  await eventually(() => isReady(settings.readinessAddress));
  await eventually(async () => (await send(address, '/safe/a')).status === 200);
});

afterEach(async () => {
  await site.close();
  await Promise.all([shedding, calm].map(engine => engine.close()));
});

/** Sends two requests at the same time, so that both targets are needed. */
async function sendPair(): Promise<readonly number[]> {
  const replies = [send(address, '/safe/a'), send(address, '/safe/a')];
  return (await Promise.all(replies)).map(({status}) => status);
}

async function sendPairsFor(duration: number): Promise<readonly number[]> {
  const statuses: number[] = [];
  const until = performance.now() + duration;
  while (performance.now() < until) {
    statuses.push(...(await sendPair()));
    await new Promise(resolve => setTimeout(resolve, PAUSE_BETWEEN_PAIRS_MS));
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

test('a target that asks an entry to back off gets no more of its requests', async () => {
  shedding.setFault({kind: 'shedding', retryAfter: BACKOFF_SECONDS});
  await sendUntilItReaches(shedding);
  const refusedAt = shedding.arrivals.at(-1)!.at;
  const statuses = await sendPairsFor(BACKOFF_SECONDS * SECOND_MS);
  const within = shedding.arrivals.filter(
    ({at}) => at > refusedAt && at < refusedAt + BACKOFF_SECONDS * SECOND_MS,
  );
  expect(within.length).toBeLessThanOrEqual(MAX_ATTEMPTS);
  expect(new Set(statuses)).toEqual(new Set([200]));
});
