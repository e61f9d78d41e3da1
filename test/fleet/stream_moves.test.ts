import {request} from 'undici';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {
  startHostEngine,
  startHostOrigin,
  type EngineFault,
  type HostEngine,
  type HostOrigin,
} from './fixtures/host_engine';
import {
  eventually,
  HOST,
  KEY,
  startHostSite,
  type HostSite,
} from './fixtures/host_site';

const EVENTS = 100;
const ALL_EVENTS = Array.from({length: EVENTS}, (_, index) => index + 1);

let site: HostSite;
let origin: HostOrigin;
const engines: HostEngine[] = [];

beforeEach(async () => {
  origin = await startHostOrigin(6, () => 1);
  site = await startHostSite(origin);
  site.configure();
});

afterEach(async () => {
  await site.close();
  await origin.close();
  await Promise.all(engines.splice(0).map(engine => engine.close()));
});

async function startEngine(instance: string): Promise<HostEngine> {
  const engine = await startHostEngine({
    instance,
    version: 1,
    events: EVENTS,
    pause: 20,
  });
  engines.push(engine);
  site.register(engine, {
    Service: 'engines',
    Models: [{Name: 'model', Version: 1}],
  });
  await site.startAgent(engine);
  return engine;
}

async function stream(address: string): Promise<string> {
  const reply = await request(`http://${address}/stream/a`, {
    method: 'POST',
    body: 'question',
    headers: {
      host: HOST,
      authorization: `Token ${KEY}`,
      'x-hibiscusbeam-request-id': 'request-1',
      'x-hibiscusbeam-model': 'model',
      'x-hibiscusbeam-length-hint': '2000',
    },
  });
  return reply.body.text();
}

/** Starts a stream and then has its engine ordered to load. */
async function streamFromLoading(
  both: readonly HostEngine[],
  otherFault: EngineFault,
) {
  const {settings} = await site.startEntry();
  const isServed = async () =>
    (await stream(settings.callerAddress)).includes(`id: ${EVENTS}\n`);
  await eventually(isServed);
  const before = both.map(engine => engine.runs.length);
  const answer = stream(settings.callerAddress);
  const begun = await eventually(() =>
    both.find((engine, index) => engine.runs.length > before[index]!),
  );
  const other = both.find(engine => engine !== begun)!;
  const arrivals = other.arrivals.length;
  other.setFault(otherFault);
  await new Promise(resolve => setTimeout(resolve, 200));
  begun.setOrdering(true);
  const ids = idsOf(await answer);
  return {begun, other, ids, offers: other.arrivals.length - arrivals};
}

function idsOf(text: string): readonly number[] {
  return [...text.matchAll(/^id: (\d+)$/gm)].map(match => Number(match[1]));
}

// An engine is ordered to load during a long answer. The answer continues at
// the other engine: its caller gets each event once, and the engine is free to
// load two seconds sooner.
test('a long stream leaves an engine that is to load', async () => {
  const both = [await startEngine('one'), await startEngine('two')];
  const {begun, other, ids} = await streamFromLoading(both, {kind: 'none'});
  expect(ids).toEqual(ALL_EVENTS);
  expect(begun.runs.at(-1)?.isCut()).toBe(true);
  expect(other.runs.at(-1)?.headers['last-event-id']).toBeDefined();
});

// If no target takes over the stream, it must continue as before.
test('a stream whose next engine refuses it stays where it is', async () => {
  const both = [await startEngine('one'), await startEngine('two')];
  const {begun, ids, offers} = await streamFromLoading(both, {kind: 'full'});
  expect(offers).toBeGreaterThan(0);
  expect(ids).toEqual(ALL_EVENTS);
  expect(begun.runs.at(-1)?.isCut()).toBe(false);
});

test('a stream whose next engine is silent stays where it is', async () => {
  const both = [await startEngine('one'), await startEngine('two')];
  const {begun, other, ids} = await streamFromLoading(both, {kind: 'mute'});
  expect(ids).toEqual(ALL_EVENTS);
  expect(begun.runs.at(-1)?.isCut()).toBe(false);
  await eventually(() => other.runs.at(-1)?.isCut());
});
