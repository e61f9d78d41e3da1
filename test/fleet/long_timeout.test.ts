import {afterEach, beforeEach, expect, test} from 'vitest';
import {isReady, send} from './fixtures/host_caller';
import {startHostEngine, type HostEngine} from './fixtures/host_engine';
import {
  eventually,
  HOST,
  startHostSite,
  type HostSite,
} from './fixtures/host_site';

/** Longer than the maximum delay of a Node timer. */
const VERY_LONG_TIMEOUT = 4_000_000_000;

const ANSWER_TIME = 100;

const ROUTE = {
  Host: HOST,
  Name: 'patient',
  Prefix: '/patient/',
  Kind: 'unsafe',
  Service: 'plain',
  TimeoutMs: VERY_LONG_TIMEOUT,
  TargetLatencyMs: 400,
};

let site: HostSite;
let engine: HostEngine;
let address: string;

beforeEach(async () => {
  site = await startHostSite();
  engine = await startHostEngine({instance: 'plain'});
  site.register(engine);
  site.configure({}, [ROUTE]);
  const {settings} = await site.startEntry();
  address = settings.callerAddress;
  await eventually(() => isReady(settings.readinessAddress));
  await eventually(async () => (await send(address, '/safe/a')).status === 200);
});

afterEach(async () => {
  await site.close();
  await engine.close();
});

test('a request with a timeout beyond the maximum timer delay is not ended at once', async () => {
  engine.setFault({kind: 'silent', after: 0, duration: ANSWER_TIME});
  const headers = {'x-hibiscusbeam-deadline-ms': String(VERY_LONG_TIMEOUT)};
  expect((await send(address, '/patient/a', headers)).status).toBe(200);
});
