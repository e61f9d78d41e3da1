import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {afterAll, beforeAll, expect, test} from 'vitest';
import {isReady, send} from '../fleet/fixtures/host_caller';
import {startHostEngine, type HostEngine} from '../fleet/fixtures/host_engine';
import {
  eventually,
  HOST,
  KEY,
  startHostSite,
  type HostSite,
} from '../fleet/fixtures/host_site';
import {sendOnSocket, type SocketCaller} from '../fleet/fixtures/socket_caller';
import {startEntryProcess, type EntryProcess} from '../soak/fleet_process';

const EVENTS = 3;

let site: HostSite;
let engine: HostEngine;
let entry: EntryProcess;
let folder: string;

beforeAll(async () => {
  site = await startHostSite();
  engine = await startHostEngine({instance: 'one', version: 1, events: EVENTS});
  setLastEvent(undefined);
  site.register(engine, {
    Service: 'engines',
    Models: [{Name: 'model', Version: 1, Adapters: []}],
  });
  site.configure();
  folder = mkdtempSync(join(tmpdir(), 'killed-entry-'));
  const settings = await site.entrySettings();
  entry = startEntryProcess({settings, folder, pause: 60_000});
  await eventually(() => isReady(entry.readinessAddress).catch(() => false));
  await eventually(async () => {
    const {status} = await send(entry.callerAddress, '/stream/a', AS_MODEL);
    return status === 200;
  });
});

afterAll(async () => {
  await entry.close();
  await engine.close();
  await site.close();
  rmSync(folder, {recursive: true});
});

/** Sets after how many events nothing more is sent, if at all. */
function setLastEvent(breaksAfter: number | undefined): void {
  engine.setFault({kind: 'unframedStream', breaksAfter, by: 'silence'});
}

const AS_MODEL = {'x-hibiscusbeam-model': 'model'};

function sendStream(): SocketCaller {
  return sendOnSocket(entry.callerAddress, '/stream/a', {
    Host: HOST,
    Authorization: `Token ${KEY}`,
    'X-Hibiscusbeam-Request-Id': 'request-1',
    'X-Hibiscusbeam-Deadline-Ms': '4000',
    ...AS_MODEL,
  });
}

const countEvents = (text: string): number => text.split('data: ').length - 1;

test('a stream without a length does not end like a whole one if its entry is killed', async () => {
  const whole = await sendStream().received;
  expect(whole.end).toBe('end');
  expect(countEvents(whole.text)).toBe(EVENTS);
  setLastEvent(1);
  const {socket, received} = sendStream();
  socket.once('data', () => entry.signal('SIGKILL'));
  const {end, text} = await received;
  expect(end).toBe('ECONNRESET');
  expect(countEvents(text)).toBeLessThan(EVENTS);
});
