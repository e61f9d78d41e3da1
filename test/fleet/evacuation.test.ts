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

let shortSite: ShortObjectiveSite;
let north: HostEngine;
let south: HostEngine;

beforeEach(async () => {
  shortSite = await startShortObjectiveSite();
  north = await shortSite.startTarget('north-1');
  south = await shortSite.startTarget('south-1', {Zone: 'south'});
});

afterEach(() => shortSite.close());

const evacuate = (zone: string) =>
  shortSite.site.store.write('op', `evacuate/${zone}`, {});

const endEvacuation = (zone: string) =>
  shortSite.site.store.remove('op', `evacuate/${zone}`);

const logged = (text: string): readonly LogLine[] =>
  shortSite.site.lines.filter(({message}) => message.includes(text));

/** Statuses of some requests, sent two at a time. */
async function sendRounds(
  route: string,
): Promise<ReadonlySet<number | undefined>> {
  const statuses = new Set<number | undefined>();
  for (let round = 0; round < ROUNDS; round += 1) {
    const replies = await Promise.all([
      shortSite.sendRequest(route),
      shortSite.sendRequest(route),
    ]);
    for (const {status} of replies) statuses.add(status);
  }
  return statuses;
}

async function startStreams(): Promise<HostEngine> {
  const options = {events: 3, pause: 150};
  const engine = await shortSite.startTarget('engine-1', AS_ENGINE, options);
  await shortSite.serve();
  return engine;
}

test('targets of an evacuated zone get no requests until the evacuation ends', async () => {
  await startStreams();
  evacuate('north');
  await eventually(() => logged('zone evacuated').length > 0);
  const before = north.runs.length;
  expect(await sendRounds('quick')).toEqual(new Set([200]));
  expect(north.runs.length).toBe(before);
  endEvacuation('north');
  await eventually(() => logged('no longer evacuated').length > 0);
  await sendRounds('quick');
  expect(north.runs.length).toBeGreaterThan(before);
});

test('an entry that starts while a zone is evacuated sends it nothing', async () => {
  evacuate('north');
  await shortSite.startTarget('engine-1', {...AS_ENGINE, Zone: 'south'});
  await shortSite.serve();
  expect(await sendRounds('quick')).toEqual(new Set([200]));
  expect(north.runs).toEqual([]);
  expect(south.runs.length).toBeGreaterThan(0);
});

test('a stream that runs in an evacuated zone continues to its end', async () => {
  const engine = await startStreams();
  const before = engine.runs.length;
  const stream = shortSite.sendRequest('going');
  await eventually(() => engine.runs.length > before);
  evacuate('north');
  await eventually(() => logged('zone evacuated').length > 0);
  expect(await stream).toEqual({
    status: 200,
    text: `${WHOLE_STREAM}\ndata: token 3`,
  });
  expect((await shortSite.sendRequest('going')).status).toBe(503);
});

test('requests for a service without another zone are refused with a reason', async () => {
  await startStreams();
  evacuate('north');
  evacuate('south');
  await eventually(() => logged('zone evacuated').length > 1);
  const {status, text} = await shortSite.sendRequest('quick');
  expect({status, text}).toEqual({status: 503, text: 'targetsEvacuated'});
});

test('a broken stream is not resumed in an evacuated zone', async () => {
  const north = await startStreams();
  const south = await shortSite.startTarget('engine-2', {
    ...AS_ENGINE,
    Zone: 'south',
  });
  evacuate('north');
  await eventually(() => logged('zone evacuated').length > 0);
  await eventually(
    async () => (await shortSite.sendRequest('going')).status === 200,
  );
  const before = north.runs.length;
  south.setFault({kind: 'cutStream', after: 1});
  expect((await shortSite.sendRequest('going')).text).not.toContain('token 3');
  expect(south.runs.length).toBeGreaterThan(0);
  expect(north.runs.length).toBe(before);
});

test('an evacuation that a store restore removes is over', async () => {
  await startStreams();
  const copy = shortSite.site.store.copy();
  evacuate('north');
  await eventually(() => logged('zone evacuated').length > 0);
  shortSite.site.store.restore(copy);
  await eventually(() => logged('no longer evacuated').length > 0);
});
