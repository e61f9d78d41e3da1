import {mkdtempSync, rmSync} from 'node:fs';
import {connect} from 'node:net';
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
import {startEntryProcess, type EntryProcess} from '../soak/entry_process';

const EVENTS = 20;
const EVENT_PAUSE_MS = 50;

let site: HostSite;
let engine: HostEngine;
let entry: EntryProcess;
let folder: string;

beforeAll(async () => {
  site = await startHostSite();
  engine = await startHostEngine({
    instance: 'one',
    version: 1,
    events: EVENTS,
    pause: EVENT_PAUSE_MS,
  });
  engine.setFault({
    kind: 'unframedStream',
    breaksAfter: undefined,
    by: 'end',
  });
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

const AS_MODEL = {'x-hibiscusbeam-model': 'model'};

/** Reads a stream; `onEvent` is called with the number of events so far. */
function readStream(onEvent: (count: number) => void) {
  const [host, port] = entry.callerAddress.split(':');
  const caller = connect(Number(port), host);
  const lines = [
    'POST /stream/a HTTP/1.1',
    `Host: ${HOST}`,
    `Authorization: Token ${KEY}`,
    'X-Hibiscusbeam-Request-Id: request-1',
    'X-Hibiscusbeam-Deadline-Ms: 4000',
    'X-Hibiscusbeam-Model: model',
    'Content-Length: 0',
  ];
  caller.write(`${lines.join('\r\n')}\r\n\r\n`);
  let text = '';
  const eventCount = (): number => text.split('data: ').length - 1;
  return new Promise<{end: string; events: number}>(resolve => {
    caller.on('data', (bytes: Buffer) => {
      text += bytes.toString();
      onEvent(eventCount());
    });
    caller.once('end', () => resolve({end: 'end', events: eventCount()}));
    caller.once('error', (error: NodeJS.ErrnoException) =>
      resolve({end: error.code ?? error.message, events: eventCount()}),
    );
  });
}

test('a stream without a length does not end like a whole one if its entry is killed', async () => {
  const whole = await readStream(() => undefined);
  expect(whole).toEqual({end: 'end', events: EVENTS});
  const {end, events} = await readStream(() => entry.signal('SIGKILL'));
  expect(end).toBe('ECONNRESET');
  expect(events).toBeLessThan(EVENTS);
});
