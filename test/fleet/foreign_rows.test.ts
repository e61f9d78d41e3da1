import {afterEach, beforeEach, expect, test} from 'vitest';
import {request} from 'undici';
import {startHostEngine, type HostEngine} from './fixtures/host_engine';
import {
  eventually,
  HOST,
  KEY,
  startHostSite,
  type HostSite,
} from './fixtures/host_site';

let site: HostSite;
let engine: HostEngine;

beforeEach(async () => {
  site = await startHostSite();
  engine = await startHostEngine({instance: 'one'});
});

afterEach(async () => {
  await site.close();
  await engine.close();
});

async function send(address: string): Promise<number> {
  const reply = await request(`http://${address}/safe/a`, {
    headers: {
      host: HOST,
      authorization: `Token ${KEY}`,
      'x-hibiscusbeam-request-id': 'request-1',
    },
  });
  await reply.body.dump();
  return reply.statusCode;
}

function linesOn(key: string): number {
  return site.lines.filter(
    line =>
      line.message === 'row not used' &&
      (line.fields as {readonly key: string}).key === key,
  ).length;
}

// Another program writes to the tables that we read: bytes, rows without
// fields, unknown states. Callers must not notice, and operators get one log
// line for each row and each change of it.
test('serves alongside rows of another writer, and logs each change once', async () => {
  site.store.writeBytes('servers', 'bytes', Buffer.from([0xff, 0x00, 0x7b]));
  site.store.writeBytes('members', 'torn', Buffer.from('{"instance"'));
  site.store.write('op', 'version/model', {Model: 'model'});
  site.register(engine);
  site.store.write('servers', 'odd', {Service: 'plain', State: 'warming'});
  site.register(engine, {Service: 'nobodys'}, 'stray');
  site.configure();
  const {settings} = await site.startEntry();
  await eventually(async () => (await send(settings.callerAddress)) === 200);
  const isLogged = (key: string) => () => linesOn(key) === 1;
  for (const key of ['bytes', 'torn', 'odd', 'version/model', 'stray']) {
    await eventually(isLogged(key));
  }
  site.store.write('servers', 'odd', {Service: 'plain'});
  await eventually(() => linesOn('odd') === 2);
  expect(linesOn('bytes')).toBe(1);
  expect(await send(settings.callerAddress)).toBe(200);
});

// The newest configuration can't be read, and may revoke a key. The previous
// one is served only until it would have to be confirmed again.
test('an unreadable configuration confirms nothing', async () => {
  site.register(engine);
  site.configure();
  const {settings} = await site.startEntry({revocation: 3_000});
  const isServed = async () => (await send(settings.callerAddress)) === 200;
  await eventually(isServed);
  site.store.writeBytes('op', 'config', Buffer.from('{'));
  await eventually(async () => !(await isServed()));
  site.configure();
  await eventually(isServed);
});
