import {afterEach, beforeEach, expect, test} from 'vitest';
import {isReady, send} from './fixtures/host_caller';
import {startHostEngine, type HostEngine} from './fixtures/host_engine';
import {eventually, startHostSite, type HostSite} from './fixtures/host_site';

const RATE = 1;

/** Time in which all entries know what one of them has been told. */
const CONTACT = 3_000;

/** In any such time a target takes so much more than it names, and some. */
const WINDOW = 4_000;
const MOST_IN_WINDOW = 1.5 * RATE * (WINDOW / 1_000) + 5;

/** Requests at an entry at the same time, so that one target isn't enough. */
const AT_ONCE = 2;

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
      Array.from({length: AT_ONCE}, () => send(address, '/safe/a')),
    );
    for (const {status} of await Promise.all(replies)) statuses.push(status);
    await new Promise(resolve => setTimeout(resolve, 25));
  }
  return statuses;
}

/** Most requests that begin at an engine in any window after `since`. */
function mostInWindow({runs}: HostEngine, since: number): number {
  const times = runs.map(({begunAt}) => begunAt).filter(at => at >= since);
  const counts = times.map(
    first => times.filter(at => at >= first && at < first + WINDOW).length,
  );
  return Math.max(0, ...counts);
}

test('entries together keep to the limit that a target names', async () => {
  const addresses = [await startServingEntry(), await startServingEntry()];
  limited.setRateLimit(RATE);
  await sendFor(CONTACT, addresses);
  const since = performance.now();
  const statuses = await sendFor(1.5 * WINDOW, addresses);
  expect(mostInWindow(limited, since)).toBeLessThanOrEqual(MOST_IN_WINDOW);
  expect(new Set(statuses)).toEqual(new Set([200]));
});
