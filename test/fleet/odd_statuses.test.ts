import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {createEngineControl} from '../../platform/engine_control';
import {isReady, send} from './fixtures/host_caller';
import {startHostEngine, type HostEngine} from './fixtures/host_engine';
import {eventually, startHostSite, type HostSite} from './fixtures/host_site';

const REQUESTS = 20;

/** Failures until a target is avoided, and one more try after the pause. */
const MAX_TRIES = 4;

const ODD_STATUSES = ['000', '001', '099', '600', '999'];

let site: HostSite;
let odd: HostEngine;

beforeEach(async () => {
  site = await startHostSite();
  odd = await startHostEngine({instance: 'odd', version: 1});
});

afterEach(async () => {
  await site.close();
  await odd.close();
});

async function startEntryWith(
  ...targets: readonly (readonly [HostEngine, object?])[]
): Promise<string> {
  for (const [target, registration] of targets) {
    site.register(target, registration);
  }
  site.configure();
  const {settings} = await site.startEntry();
  await eventually(() => isReady(settings.readinessAddress));
  await eventually(
    () =>
      site.lines.filter(({message}) => message === 'target').length >=
      targets.length,
  );
  return settings.callerAddress;
}

describe.each(ODD_STATUSES)('a target that answers with status %s', status => {
  beforeEach(() => odd.setFault({kind: 'status', status}));

  // A target in trouble that answers quickly would draw all requests to it.
  test('is soon avoided, and callers get the answers of others', async () => {
    const sound = await startHostEngine({instance: 'sound'});
    const entry = await startEntryWith([odd], [sound]);
    for (let sent = 0; sent < REQUESTS; sent += 1) {
      const answer = await send(entry, '/safe/a');
      expect(answer.status).toBe(200);
      expect(answer.text).toBe('done by sound');
    }
    expect(odd.arrivals.length).toBeLessThanOrEqual(MAX_TRIES);
    await sound.close();
  });

  test.each(['/safe/a', '/unsafe/a'])(
    'gives callers of %s no answer of its own if there is no other',
    async path => {
      const entry = await startEntryWith([odd]);
      const answer = await send(entry, path);
      expect(answer.status).toBe(502);
      expect(answer.headers).not.toHaveProperty('x-hibiscusbeam-server-seal');
      const failed = 'request failed in this process';
      expect(site.lines.map(({message}) => message)).not.toContain(failed);
    },
  );

  test('gives callers of a stream no answer of its own', async () => {
    const Models = [{Name: 'model', Version: 1, Adapters: []}];
    const entry = await startEntryWith([odd, {Service: 'engines', Models}]);
    const model = {'x-hibiscusbeam-model': 'model'};
    expect((await send(entry, '/stream/a', model)).status).toBe(502);
  });

  test("fails an agent's call", async () => {
    const engine = createEngineControl(odd.address);
    const staged = await engine.readStaged('model', 1);
    expect(staged.ok).toBe(false);
  });
});
