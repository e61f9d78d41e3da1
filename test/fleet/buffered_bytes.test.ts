import {monotonicClock, type Log} from '@hibiscusbeam/daemon';
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import {connect, type Socket} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {PassThrough} from 'node:stream';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {
  createBufferedBytes,
  type BufferedBytes,
} from '../../packages/fleet/src/entry/buffered_bytes';
import {relayStream} from '../../packages/fleet/src/entry/stream_relay';
import {requestProtocol} from '../../platform/request_protocol';
import {eventually} from './fixtures/host_site';

const SLOW_READERS = 250;
const FAST_READERS = 20;
const MAX_BUFFERED_BYTES = 1_500_000;
const EVENT = Buffer.from(`data: ${'.'.repeat(8_000)}\n\n`);
const EVENTS = 80;
const SLOW = 'slow';

/**
 * A Unix socket, since over loopback TCP the system buffers 3.9 MB for each
 * stalled reader.
 */
const PATH = join(tmpdir(), `hibiscusbeam-buffers-${process.pid}.sock`);

const nothing = (): void => undefined;

let buffered: BufferedBytes;
let droppedLines: string[];
let sockets: Socket[];
let server: ReturnType<typeof createServer>;

/** Relays a stream of events, as an entry does with its target's. */
function relay(request: IncomingMessage, response: ServerResponse): void {
  const requestId = request.url?.slice(1);
  const body = new PassThrough();
  for (let count = 0; count < EVENTS; count += 1) body.write(EVENT);
  body.end();
  const answer = {
    status: 200,
    lines: [],
    header: {} as never,
    body: body as unknown as IncomingMessage,
    isWhole: () => true,
    isFramed: true,
  };
  void relayStream({
    answer,
    response,
    protocol: requestProtocol,
    progress: {begun: false, lastEventId: undefined, begunAt: undefined},
    silence: {
      recordBytes: nothing,
      pause: nothing,
      resume: nothing,
      stop: nothing,
    },
    signal: new AbortController().signal,
    buffers: buffered.open(response, requestId),
    onStream: nothing,
    onForward: nothing,
    now: () => 0,
    ownLines: () => [],
    onEvent: nothing,
    confirmEnd: () => Promise.resolve(true),
    onFirstEvent: nothing,
    onError: nothing,
  }).then(() => response.end());
}

beforeEach(async () => {
  droppedLines = [];
  sockets = [];
  const warn = (_: string, fields: {request: string}) =>
    void droppedLines.push(fields.request);
  buffered = createBufferedBytes({
    bound: MAX_BUFFERED_BYTES,
    clock: monotonicClock,
    log: {warn} as unknown as Log,
    onDropped: nothing,
  });
  server = createServer(relay);
  await new Promise<void>(resolve => server.listen(PATH, resolve));
});

afterEach(() => {
  for (const socket of sockets) socket.destroy();
  server.closeAllConnections();
  server.close();
});

function get(name: string): Socket {
  const socket = connect(PATH);
  socket.on('error', nothing);
  sockets.push(socket);
  socket.write(`GET /${name} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n`);
  return socket;
}

function readWhole(name: string): Promise<number> {
  const socket = get(name);
  let size = 0;
  socket.on('data', bytes => (size += bytes.length));
  return new Promise(resolve => socket.on('close', () => resolve(size)));
}

// 250 callers stop reading their streams. Without a bound the buffered bytes
// would exhaust the memory of the process and end the requests of all other
// callers too.
test('hundreds of slow readers are dropped down to the bound, and others are served', async () => {
  for (let count = 0; count < SLOW_READERS; count += 1) get(`${SLOW}-${count}`);
  await eventually(() => droppedLines.length > 0 && buffered.held() > 0);
  await eventually(() => buffered.held() <= MAX_BUFFERED_BYTES);
  const sizes = await Promise.all(
    Array.from({length: FAST_READERS}, (_, count) =>
      readWhole(`fast-${count}`),
    ),
  );
  for (const size of sizes) expect(size).toBeGreaterThan(EVENT.length * EVENTS);
  expect(droppedLines.every(name => name.startsWith(SLOW))).toBe(true);
  expect(droppedLines.length).toBeLessThan(SLOW_READERS);
});

test('a complete answer counts until it is forwarded', async () => {
  const held = new Promise<number>(resolve => {
    server.removeAllListeners('request');
    server.on('request', (_, response) => {
      const buffers = buffered.open(response, 'whole');
      buffers.hold(MAX_BUFFERED_BYTES - 1);
      resolve(buffered.held());
      buffers.releaseAnswers();
      response.end();
    });
  });
  await readWhole('whole');
  expect(await held).toBe(MAX_BUFFERED_BYTES - 1);
  expect(buffered.held()).toBe(0);
});
