import {connect, type Socket} from 'node:net';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {isReady, send} from './fixtures/host_caller';
import {startHostEngine, type HostEngine} from './fixtures/host_engine';
import {
  eventually,
  HOST,
  KEY,
  startHostSite,
  type HostSite,
} from './fixtures/host_site';

const MAX_BODY = 100_000;

let site: HostSite;
let engine: HostEngine;
let address: string;
const sockets: Socket[] = [];

beforeEach(async () => {
  site = await startHostSite();
  engine = await startHostEngine({instance: 'one'});
  site.register(engine);
  site.configure({Limits: {BodyBytes: MAX_BODY}});
  const {settings} = await site.startEntry();
  address = settings.callerAddress;
  await eventually(() => isReady(settings.readinessAddress));
  await eventually(async () => (await send(address, '/safe/a')).status === 200);
});

afterEach(async () => {
  for (const socket of sockets.splice(0)) socket.destroy();
  await site.close();
  await engine.close();
});

/** A connection, and everything that has been received on it. */
function open(to = address) {
  const [host, port] = to.split(':');
  const socket = connect(Number(port), host);
  sockets.push(socket);
  const connection = {socket, received: '', isClosed: false};
  socket.on('error', () => undefined);
  socket.on('data', bytes => (connection.received += bytes.toString()));
  socket.on('close', () => (connection.isClosed = true));
  return connection;
}

function head(path: string, id: string, ...lines: readonly string[]): string {
  return [
    `POST ${path} HTTP/1.1`,
    `Host: ${HOST}`,
    `Authorization: Token ${KEY}`,
    `X-Hibiscusbeam-Request-Id: ${id}`,
    ...lines,
    '\r\n',
  ].join('\r\n');
}

const hasRun = (id: string): boolean =>
  engine.runs.some(({requestId}) => requestId === id);

test('what follows a body that was refused early is not shifted', async () => {
  const hidden = head('/safe/hidden', 'hidden', 'Content-Length: 0');
  const connection = open();
  const {socket} = connection;
  socket.write(head('/none/a', 'refused', `Content-Length: ${hidden.length}`));
  await eventually(() => connection.received.includes('404'));
  socket.write(hidden);
  socket.write(head('/safe/next', 'next', 'Content-Length: 0'));
  await eventually(() => connection.received.includes('200 OK'));
  expect(connection.isClosed).toBe(false);
  expect(hasRun('next')).toBe(true);
  expect(hasRun('hidden')).toBe(false);
});

test('a body over the limit that is announced is refused before it is sent', async () => {
  const connection = open();
  connection.socket.write(
    head('/safe/a', 'large', `Content-Length: ${MAX_BODY + 1}`),
  );
  await eventually(() => connection.received.includes('413'));
  expect(connection.isClosed).toBe(false);
});

const TOO_LONG = 3 * MAX_BODY;
const CHUNK = 0x1000;

// Refused bodies were read for as long as their callers sent.
test.each([
  [`Content-Length: ${TOO_LONG}`, 'x'.repeat(TOO_LONG)],
  [
    'Transfer-Encoding: chunked',
    `1000\r\n${'x'.repeat(CHUNK)}\r\n`.repeat(TOO_LONG / CHUNK) + '0\r\n\r\n',
  ],
])(
  'a connection is closed if the rest of a refused body is too long: %s',
  async (framing, body) => {
    const connection = open();
    connection.socket.write(head('/safe/a', 'large', framing));
    connection.socket.write(body);
    connection.socket.write(head('/safe/next', 'next', 'Content-Length: 0'));
    await eventually(() => connection.isClosed);
    expect(hasRun('next')).toBe(false);
  },
);

test('a connection is closed if the rest of a refused body does not come', async () => {
  const connection = open();
  connection.socket.write(head('/none/a', 'refused', 'Content-Length: 10'));
  await eventually(() => connection.isClosed);
  expect(connection.received).toContain('404');
});

test('a request whose body is not there by its deadline is refused with 408 and never runs', async () => {
  const connection = open();
  connection.socket.write(
    head(
      '/unsafe/a',
      'late',
      'Content-Length: 4',
      'X-Hibiscusbeam-Deadline-Ms: 300',
    ),
  );
  connection.socket.write('lat');
  await eventually(() => connection.received.includes('408'));
  connection.socket.write('e');
  connection.socket.write(head('/safe/next', 'next', 'Content-Length: 0'));
  await eventually(() => connection.received.includes('200 OK'));
  expect(hasRun('late')).toBe(false);
});

test('a caller that expects to be asked for the body is asked only if it may be served', async () => {
  const expecting = ['Expect: 100-continue', 'Content-Length: 2'];
  const served = open();
  served.socket.write(head('/safe/a', 'served', ...expecting));
  await eventually(() => served.received.includes('100 Continue'));
  served.socket.write('hi');
  await eventually(() => served.received.includes('200 OK'));
  const refused = open();
  refused.socket.write(head('/none/a', 'refused', ...expecting));
  await eventually(() => refused.isClosed);
  expect(refused.received).toMatch(/^HTTP\/1.1 404/);
});

test('a body of the largest legal size is served', async () => {
  const {status} = await send(address, '/safe/a', {}, 'x'.repeat(MAX_BODY));
  expect(status).toBe(200);
  expect(engine.runs.at(-1)?.body.length).toBe(MAX_BODY);
});

// Without a configuration there was no limit to what was read.
test('a body is refused by its header before the first configuration', async () => {
  const unconfigured = await startHostSite();
  const {settings} = await unconfigured.startEntry();
  const connection = open(settings.callerAddress);
  connection.socket.write(head('/safe/a', 'early', 'Content-Length: 9000000'));
  await eventually(() => connection.received.includes('503'));
  connection.socket.destroy();
  await unconfigured.close();
});
