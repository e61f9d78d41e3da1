import {afterEach, beforeEach, expect, test} from 'vitest';
import {isReady, send} from './fixtures/host_caller';
import {startHostEngine, type HostEngine} from './fixtures/host_engine';
import {eventually, startHostSite, type HostSite} from './fixtures/host_site';
import {AS_ENGINE} from './fixtures/short_objective_site';

const CRASHING_PART = 'bad0';
const SHARED_PART = 'aa01';
const SOUND_PART = 'bb02';
const ENGINES = 24;

/** Time in which what one entry has learned reaches all entries. */
const PROPAGATION_MS = 3_000;

/** Attempts allowed after that time, whatever an entry knew. */
const MAX_LATE_ATTEMPTS = 3;

let site: HostSite;
let engines: readonly HostEngine[];
let sent: number;

beforeEach(async () => {
  sent = 0;
  site = await startHostSite();
  engines = await Promise.all(
    Array.from({length: ENGINES}, (_, index) =>
      startHostEngine({instance: `engine-${index}`, version: 1}),
    ),
  );
  setFraming('chunks');
  for (const engine of engines) site.register(engine, AS_ENGINE);
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
  await eventually(async () => (await sendSound(address)) === 200);
  return {address, running};
}

/** Sends a request that no other one equals; resolves to its status. */
async function sendPrompt(address: string, part: string) {
  sent += 1;
  const headers = {
    'x-hibiscusbeam-request-id': `request-${sent}`,
    'x-hibiscusbeam-model': 'model',
    'x-hibiscusbeam-prompt-prefix': `${SHARED_PART}:40,${part}:90,${sent}:9`,
  };
  const body = `question ${sent}`;
  try {
    return (await send(address, '/stream/a', headers, body)).status;
  } catch {
    return undefined;
  }
}

const sendSound = (address: string) => sendPrompt(address, SOUND_PART);
const sendCrashing = (address: string) => sendPrompt(address, CRASHING_PART);

function crashingAttempts(): number {
  return engines
    .flatMap(({runs}) => runs)
    .filter(({headers}) =>
      String(headers['x-hibiscusbeam-prompt-prefix']).includes(CRASHING_PART),
    ).length;
}

function pass(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}

/** Sets how engines frame their answers, also those they crash under. */
function setFraming(framing: 'chunks' | 'connection'): void {
  for (const engine of engines) {
    engine.setFault({kind: 'crashesOnPart', part: CRASHING_PART, framing});
  }
}

async function checkLateAttempts(): Promise<void> {
  const first = await startServingEntry();
  const second = await startServingEntry();
  const addresses = [first.address, second.address];
  for (const address of [...addresses, ...addresses]) {
    await sendCrashing(address);
  }
  await pass(PROPAGATION_MS);
  const before = crashingAttempts();
  const sound: (number | undefined)[] = [];
  for (let round = 0; round < 4; round += 1) {
    for (const address of addresses) {
      await sendCrashing(address);
      sound.push(await sendSound(address));
    }
  }
  expect(before).toBeGreaterThanOrEqual(3);
  expect(crashingAttempts() - before).toBeLessThanOrEqual(MAX_LATE_ATTEMPTS);
  expect(sound.filter(status => status !== 200)).toEqual([]);
}

test('different requests that share a part which crashes targets are not sent by any entry, and others are', async () => {
  await checkLateAttempts();
});

test('a part that crashes targets is found although their answers end with the connection', async () => {
  setFraming('connection');
  await checkLateAttempts();
});
