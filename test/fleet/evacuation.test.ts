import {afterEach, beforeEach, expect, test} from 'vitest';
import type {HostEngine} from './fixtures/host_engine';
import {eventually, type LogLine} from './fixtures/host_site';
import {
  AS_ENGINE,
  startShortObjectiveSite,
  WHOLE_STREAM,
  type ShortObjectiveSite,
} from './fixtures/short_objective_site';

const ROUNDS = 10;

let quick: ShortObjectiveSite;
let north: HostEngine;
let south: HostEngine;

beforeEach(async () => {
  quick = await startShortObjectiveSite();
  north = await quick.startTarget('north-1');
  south = await quick.startTarget('south-1', {Zone: 'south'});
});

afterEach(() => quick.close());

const evacuate = (zone: string) =>
  quick.site.store.write('op', `evacuate/${zone}`, {});

const takeBack = (zone: string) =>
  quick.site.store.remove('op', `evacuate/${zone}`);

const logged = (text: string): readonly LogLine[] =>
  quick.site.lines.filter(({message: sentence}) => sentence.includes(text));

/** Statuses of some requests, two at a time. */
async function ask(route: string): Promise<ReadonlySet<number | undefined>> {
  const statuses = new Set<number | undefined>();
  for (let round = 0; round < ROUNDS; round += 1) {
    const replies = await Promise.all([
      quick.sendRequest(route),
      quick.sendRequest(route),
    ]);
    for (const {status} of replies) statuses.add(status);
  }
  return statuses;
}

async function startStreams(): Promise<HostEngine> {
  const options = {events: 3, pause: 150};
  const engine = await quick.startTarget('engine-1', AS_ENGINE, options);
  await quick.serve();
  return engine;
}

test('targets of an evacuated zone get nothing, and their share again after it', async () => {
  await startStreams();
  evacuate('north');
  await eventually(() => logged('zone evacuated').length > 0);
  const before = north.runs.length;
  expect(await ask('quick')).toEqual(new Set([200]));
  expect(north.runs.length).toBe(before);
  takeBack('north');
  await eventually(() => logged('no longer evacuated').length > 0);
  await ask('quick');
  expect(north.runs.length).toBeGreaterThan(before);
});

test('an entry that starts while a zone is evacuated sends it nothing', async () => {
  evacuate('north');
  await quick.startTarget('engine-1', {...AS_ENGINE, Zone: 'south'});
  await quick.serve();
  expect(await ask('quick')).toEqual(new Set([200]));
  expect(north.runs).toEqual([]);
  expect(south.runs.length).toBeGreaterThan(0);
});

test('a stream that runs in the zone goes on to its end', async () => {
  const engine = await startStreams();
  const before = engine.runs.length;
  const stream = quick.sendRequest('going');
  await eventually(() => engine.runs.length > before);
  evacuate('north');
  await eventually(() => logged('zone evacuated').length > 0);
  expect(await stream).toEqual({
    status: 200,
    text: `${WHOLE_STREAM}\ndata: token 3`,
  });
  expect((await quick.sendRequest('going')).status).toBe(503);
});

test('requests for a service without another zone are refused with a reason', async () => {
  await startStreams();
  evacuate('north');
  evacuate('south');
  await eventually(() => logged('zone evacuated').length > 1);
  const {status, text} = await quick.sendRequest('quick');
  expect({status, text}).toEqual({status: 503, text: 'targetsEvacuated'});
});

test('a stream that breaks elsewhere does not go on in the zone', async () => {
  const north = await startStreams();
  const south = await quick.startTarget('engine-2', {
    ...AS_ENGINE,
    Zone: 'south',
  });
  evacuate('north');
  await eventually(() => logged('zone evacuated').length > 0);
  await eventually(
    async () => (await quick.sendRequest('going')).status === 200,
  );
  const before = north.runs.length;
  south.setFault({kind: 'cutStream', after: 1});
  expect((await quick.sendRequest('going')).text).not.toContain('token 3');
  expect(south.runs.length).toBeGreaterThan(0);
  expect(north.runs.length).toBe(before);
});

test('an evacuation that a restore of the store takes back is over', async () => {
  await startStreams();
  const copy = quick.site.store.copy();
  evacuate('north');
  await eventually(() => logged('zone evacuated').length > 0);
  quick.site.store.restore(copy);
  await eventually(() => logged('no longer evacuated').length > 0);
});
