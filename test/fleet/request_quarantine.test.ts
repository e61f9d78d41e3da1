import {afterEach, beforeEach, expect, test} from 'vitest';
import {isReady, send} from './fixtures/host_caller';
import {startHostEngine, type HostEngine} from './fixtures/host_engine';
import {eventually, startHostSite, type HostSite} from './fixtures/host_site';

const CRASHING = 'crashes its engine';
const ENGINES = 12;

/** Time in which what one entry has learned reaches all entries. */
const PROPAGATION_MS = 3_000;

/** Attempts allowed after that time, whatever an entry knew. */
const MAX_LATE_ATTEMPTS = 3;

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

function crashingAttempts(): number {
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

test('a request that has crashed three targets is not sent again by any entry', async () => {
  const first = await startServingEntry();
  const second = await startServingEntry();
  const addresses = [first.address, second.address];
  await sendCrashing(addresses, 2);
  await pass(PROPAGATION_MS);
  const before = crashingAttempts();
  await sendCrashing(addresses, 8);
  expect(before).toBeGreaterThanOrEqual(3);
  expect(crashingAttempts() - before).toBeLessThanOrEqual(MAX_LATE_ATTEMPTS);
});

test('entries that have all restarted still know a request that crashes targets', async () => {
  const first = await startServingEntry();
  await sendCrashing([first.address], 2);
  await pass(PROPAGATION_MS);
  await first.running.stop();
  const before = crashingAttempts();
  const second = await startServingEntry();
  await sendCrashing([second.address], 8);
  expect(before).toBeGreaterThanOrEqual(3);
  expect(crashingAttempts() - before).toBeLessThanOrEqual(MAX_LATE_ATTEMPTS);
});

/** Number of requests that crash targets, and the pause between them. */
const CASES = [
  {requests: 1, pause: 0},
  {requests: 2, pause: 0},
  {requests: 3, pause: 150},
];

test.each(CASES)(
  '$requests requests that crash targets, $pause ms apart, leave targets for all others',
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
      await pass(PROPAGATION_MS / 2);
    }
    await pass(PROPAGATION_MS / 2);
    const before = crashingAttempts();
    for (const path of paths) await send(address, path, {}, CRASHING);
    expect(crashingAttempts() - before).toBeLessThanOrEqual(MAX_LATE_ATTEMPTS);
    expect(before).toBeLessThanOrEqual(3 * requests);
    expect((await send(address, '/safe/a')).status).toBe(200);
  },
);
