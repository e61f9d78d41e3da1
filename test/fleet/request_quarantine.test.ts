import {afterEach, beforeEach, expect, test} from 'vitest';
import {isReady, send} from './fixtures/host_caller';
import {startHostEngine, type HostEngine} from './fixtures/host_engine';
import {eventually, startHostSite, type HostSite} from './fixtures/host_site';

const CRASHING = 'crashes its engine';
const ENGINES = 12;

/** Time in which all entries know what one of them has seen. */
const CONTACT = 3_000;

/** Sends that are allowed after it, whatever an entry knew. */
const MOST_LATE_SENDS = 3;

let site: HostSite;
let engines: readonly HostEngine[];

beforeEach(async () => {
  site = await startHostSite();
  engines = await Promise.all(
    Array.from({length: ENGINES}, (_, index) =>
      startHostEngine({instance: `engine-${index}`}),
    ),
  );
  for (const engine of engines) {
    engine.setFault({kind: 'crashes', under: CRASHING});
    site.register(engine);
  }
  site.configure();
});

afterEach(async () => {
  await site.close();
  await Promise.all(engines.map(engine => engine.close()));
});

async function startServingEntry() {
  const {settings, running} = await site.startEntry();
  await eventually(() => isReady(settings.readinessAddress));
  const address = settings.callerAddress;
  await eventually(async () => (await send(address, '/safe/a')).status === 200);
  return {address, running};
}

function crashingSends(): number {
  return engines.flatMap(({runs}) => runs).filter(({body}) => body === CRASHING)
    .length;
}

async function sendCrashing(addresses: readonly string[], times: number) {
  for (let sent = 0; sent < times; sent += 1) {
    const address = addresses[sent % addresses.length]!;
    await send(address, '/safe/crashing', {}, CRASHING);
  }
}

function pass(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}

test('a request that has ended three targets is sent to no more, by any entry', async () => {
  const first = await startServingEntry();
  const second = await startServingEntry();
  const addresses = [first.address, second.address];
  await sendCrashing(addresses, 2);
  await pass(CONTACT);
  const before = crashingSends();
  await sendCrashing(addresses, 8);
  expect(before).toBeGreaterThanOrEqual(3);
  expect(crashingSends() - before).toBeLessThanOrEqual(MOST_LATE_SENDS);
});

test('entries that have all started anew still know a request that ends targets', async () => {
  const first = await startServingEntry();
  await sendCrashing([first.address], 2);
  await pass(CONTACT);
  await first.running.stop();
  const before = crashingSends();
  const second = await startServingEntry();
  await sendCrashing([second.address], 8);
  expect(before).toBeGreaterThanOrEqual(3);
  expect(crashingSends() - before).toBeLessThanOrEqual(MOST_LATE_SENDS);
});

/** How many requests that end targets come, and the pause between them. */
const SHARES = [
  {requests: 1, pause: 0},
  {requests: 2, pause: 0},
  {requests: 3, pause: 150},
];

test.each(SHARES)(
  '$requests requests that end targets, $pause ms apart, leave targets for all others',
  async ({requests, pause}) => {
    const {address} = await startServingEntry();
    const paths = Array.from(
      {length: requests},
      (_, index) => `/safe/crashing-${index}`,
    );
    for (let round = 0; round < 2; round += 1) {
      for (const path of paths) {
        void send(address, path, {}, CRASHING);
        await pass(pause);
      }
      await pass(CONTACT / 2);
    }
    await pass(CONTACT / 2);
    const before = crashingSends();
    for (const path of paths) await send(address, path, {}, CRASHING);
    expect(crashingSends() - before).toBeLessThanOrEqual(MOST_LATE_SENDS);
    expect(before).toBeLessThanOrEqual(3 * requests);
    expect((await send(address, '/safe/a')).status).toBe(200);
  },
);
