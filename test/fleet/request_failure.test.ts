import {afterEach, beforeEach, expect, test} from 'vitest';
import {isReady, send} from './fixtures/host_caller';
import {startHostEngine, type HostEngine} from './fixtures/host_engine';
import {
  eventually,
  KEY,
  startHostSite,
  type HostSite,
} from './fixtures/host_site';

/** A name that can't be sent in a header line. */
const UNWRITABLE_NAME = 'магазин';

let site: HostSite;
let engine: HostEngine;
let address: string;

beforeEach(async () => {
  site = await startHostSite();
  engine = await startHostEngine({instance: 'plain'});
  site.register(engine);
  site.configure();
  const {settings} = await site.startEntry();
  address = settings.callerAddress;
  await eventually(() => isReady(settings.readinessAddress));
  await eventually(async () => (await send(address, '/safe/a')).status === 200);
});

afterEach(async () => {
  await site.close();
  await engine.close();
});

function statusOf(path: string): Promise<number | 'closed'> {
  return send(address, path).then(
    ({status}) => status,
    () => 'closed',
  );
}

function isInForce(version: number): boolean {
  return site.lines.some(
    ({message, fields}) =>
      message === 'configuration in force' &&
      (fields as {version: number}).version === version,
  );
}

test('a request whose handling fails in the entry is answered with 502', async () => {
  site.configure({Tenants: [{Name: UNWRITABLE_NAME, ApiKeys: [KEY]}]});
  await eventually(() => isInForce(2));
  expect(await statusOf('/unsafe/a')).toBe(502);
});

test('requests whose handling failed in the entry keep no slots', async () => {
  site.configure({Tenants: [{Name: UNWRITABLE_NAME, ApiKeys: [KEY]}]});
  await eventually(() => isInForce(2));
  for (let sent = 0; sent < 5; sent += 1) await statusOf('/unsafe/a');
  site.configure();
  await eventually(() => isInForce(3));
  expect(await statusOf('/unsafe/a')).toBe(200);
});
