import {connect, type Socket} from 'node:net';
import {afterEach, expect, test} from 'vitest';
import {isReady, send} from './fixtures/host_caller';
import {startHostEngine, type HostEngine} from './fixtures/host_engine';
import {
  eventually,
  HOST,
  KEY,
  startHostSite,
  type HostSite,
} from './fixtures/host_site';

const ANSWER_BYTES = 7_000_000;

/**
 * Enough for two complete answers and a little more. Some 3 MB of each answer
 * don't fit a slow caller's connection and stay buffered.
 */
const MAX_BUFFERED_BYTES = 16_000_000;

const SLOW_CALLERS = 6;

let site: HostSite;
let engine: HostEngine;
const slow: Socket[] = [];

afterEach(async () => {
  for (const socket of slow.splice(0)) socket.destroy();
  await site.close();
  await engine.close();
});

/** Sends a plain request and reads nothing of the answer. */
function sendSlowRequest(address: string, requestId: string): void {
  const [host, port] = address.split(':');
  const socket = connect(Number(port), host);
  socket.on('error', () => undefined);
  slow.push(socket);
  const lines = [
    'POST /safe/a HTTP/1.1',
    `Host: ${HOST}`,
    `Authorization: Token ${KEY}`,
    `X-Hibiscusbeam-Request-Id: ${requestId}`,
    'Content-Length: 0',
  ];
  socket.write(`${lines.join('\r\n')}\r\n\r\n`);
}

// Callers request complete answers of several megabytes and read nothing.
// Without a bound the entry would buffer each answer until its caller leaves.
test('an entry drops callers that do not read complete answers, slowest first', async () => {
  site = await startHostSite();
  engine = await startHostEngine({instance: 'one', eventSize: ANSWER_BYTES});
  site.register(engine);
  site.configure();
  const {settings} = await site.startEntry({}, {buffers: MAX_BUFFERED_BYTES});
  await eventually(() => isReady(settings.readinessAddress));
  const address = settings.callerAddress;
  await eventually(async () => (await send(address, '/safe/a')).status === 200);
  const dropped = () =>
    site.lines
      .filter(({message}) => message === 'slow reader dropped')
      .map(({fields}) => (fields as {readonly request: string}).request);
  for (let number = 1; number <= SLOW_CALLERS; number += 1) {
    sendSlowRequest(address, `slow-${number}`);
    await eventually(() =>
      JSON.stringify(site.lines).includes(`slow-${number}`),
    );
    const {status, text} = await send(address, '/safe/a');
    expect(status).toBe(200);
    expect(text.length).toBeGreaterThan(ANSWER_BYTES);
  }
  await eventually(() => dropped().length > 0);
  expect(dropped()[0]).toBe('slow-1');
  expect(dropped()).not.toContain('request-1');
});

test('a planned stop waits for a caller that has not yet read its answer', async () => {
  site = await startHostSite();
  engine = await startHostEngine({instance: 'one', eventSize: ANSWER_BYTES});
  site.register(engine);
  site.configure();
  const grace = 4_000;
  const {settings, running} = await site.startEntry({grace});
  await eventually(() => isReady(settings.readinessAddress));
  await eventually(
    async () => (await send(settings.callerAddress, '/safe/a')).status === 200,
  );
  const events: string[] = [];
  sendSlowRequest(settings.callerAddress, 'slow-1');
  await eventually(() => JSON.stringify(site.lines).includes('slow-1'));
  const stopped = running.stop().then(() => events.push('stopped'));
  // After the time in which requests on their way are awaited.
  await new Promise(resolve => setTimeout(resolve, grace * 0.7));
  let size = 0;
  slow[0]!.on('data', (bytes: Buffer) => {
    size += bytes.length;
    if (size > ANSWER_BYTES) slow[0]!.destroy();
  });
  slow[0]!.once('close', () => events.push('read'));
  await stopped;
  expect(events).toEqual(['read', 'stopped']);
  expect(size).toBeGreaterThan(ANSWER_BYTES);
});
