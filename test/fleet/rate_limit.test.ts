import {afterEach, beforeEach, expect, test} from 'vitest';
import {isReady, send} from './fixtures/host_caller';
import {startHostEngine, type HostEngine} from './fixtures/host_engine';
import {eventually, startHostSite, type HostSite} from './fixtures/host_site';

const RATE = 1;

/** Time in which what one entry has learned reaches all entries. */
const PROPAGATION_MS = 3_000;

/**
 * Window in which requests to a target are counted: up to 1.5 times its limit,
 * and 5 more.
 */
const WINDOW_MS = 4_000;
const MAX_IN_WINDOW = 1.5 * RATE * (WINDOW_MS / 1_000) + 5;

/** Concurrent requests at an entry, so that one target isn't enough. */
const CONCURRENT_REQUESTS = 2;

let site: HostSite;
let limited: HostEngine;
let free: HostEngine;

beforeEach(async () => {
  site = await startHostSite();
  limited = await startHostEngine({instance: 'limited'});
  free = await startHostEngine({instance: 'free'});
  for (const engine of [limited, free]) site.register(engine);
  site.configure();
});

afterEach(async () => {
  await site.close();
  await Promise.all([limited, free].map(engine => engine.close()));
});

async function startServingEntry(): Promise<string> {
  const {settings} = await site.startEntry();
  await eventually(() => isReady(settings.readinessAddress));
  const address = settings.callerAddress;
  await eventually(async () => (await send(address, '/safe/a')).status === 200);
  return address;
}

async function sendFor(
  duration: number,
  addresses: readonly string[],
): Promise<readonly number[]> {
  const statuses: number[] = [];
  const until = performance.now() + duration;
  while (performance.now() < until) {
    const replies = addresses.flatMap(address =>
      Array.from({length: CONCURRENT_REQUESTS}, () => send(address, '/safe/a')),
    );
    for (const {status} of await Promise.all(replies)) statuses.push(status);
    await new Promise(resolve => setTimeout(resolve, 25));
  }
  return statuses;
}

/**
 * Maximum number of requests that start at an engine in any window after
 * `since`.
 */
function maxInWindow({runs}: HostEngine, since: number): number {
  const times = runs.map(({begunAt}) => begunAt).filter(at => at >= since);
  const counts = times.map(
    first => times.filter(at => at >= first && at < first + WINDOW_MS).length,
  );
  return Math.max(0, ...counts);
}

test('entries together keep to the rate limit that a target sets', async () => {
  const addresses = [await startServingEntry(), await startServingEntry()];
  limited.setRateLimit(RATE);
  await sendFor(PROPAGATION_MS, addresses);
  const since = performance.now();
  const statuses = await sendFor(1.5 * WINDOW_MS, addresses);
  expect(maxInWindow(limited, since)).toBeLessThanOrEqual(MAX_IN_WINDOW);
  expect(new Set(statuses)).toEqual(new Set([200]));
});
