import {once} from 'node:events';
import type {ServerResponse} from 'node:http';
import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, beforeEach, expect, test} from 'vitest';
import type {CallerServer} from '../../packages/fleet/src/entry/caller_server';
import {createTestCallerServer} from './fixtures/caller_server';
import {eventually, freeAddress} from './fixtures/host_site';

const MAX_CONNECTIONS = 4;
const MAX_HEADER_MEMORY = 80_000;
const HEADER_TIMEOUT = 1_500;
const HEAD = 'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n';
const HALF_HEAD = 'POST / HTTP/1.1\r\nHost: a';

/** Time after which a check has seen the beginning of a header. */
const SEEN_AFTER = 1_200;

/** Longer than a header may take. */
const STALL = 2_000;

let server: CallerServer;
let address: string;
let closed: string[];
let closeArriving: () => boolean;
let sockets: Socket[];
let handled: number;
let headerLines: number;
let answers: (response: ServerResponse) => void;

beforeEach(async () => {
  closed = [];
  sockets = [];
  handled = 0;
  answers = response => response.end('yes');
  closeArriving = () => false;
  server = createTestCallerServer(
    (request, response) => {
      handled += 1;
      headerLines = request.rawHeaders.length / 2;
      request.resume().once('end', () => answers(response));
    },
    {
      maxConnections: MAX_CONNECTIONS,
      maxHeaderMemory: MAX_HEADER_MEMORY,
      closeArriving: () => closeArriving(),
      onClosed: reason => closed.push(reason),
    },
  );
  setIdleTimeout(60_000);
  address = await freeAddress();
  await server.listen(address);
});

afterEach(async () => {
  for (const socket of sockets) socket.destroy();
  await server.close();
});

function setIdleTimeout(idleTimeout: number): void {
  const headerBytes = 16_384;
  server.setLimits({headerBytes, headerTimeout: HEADER_TIMEOUT, idleTimeout});
}

async function open(sent = '') {
  const [host, port] = address.split(':');
  const socket = connect(Number(port), host);
  const connection = {socket, received: ''};
  sockets.push(socket);
  socket.on('error', () => undefined);
  socket.on('data', bytes => (connection.received += bytes.toString()));
  socket.write(sent);
  await once(socket, 'connect');
  return connection;
}

function blockEventLoop(duration: number): void {
  const until = performance.now() + duration;
  while (performance.now() < until);
}

test('a header that does not end is refused with 408, also if bytes keep coming', async () => {
  const connection = await open(HALF_HEAD);
  const {socket} = connection;
  const timer = setInterval(() => socket.write('x'), 50);
  await eventually(() => socket.closed);
  clearInterval(timer);
  expect(connection.received).toContain('408 Request Timeout');
  expect(closed).toEqual(['lateHeader']);
});

test('a header whose end arrives while the event loop is stalled is answered', async () => {
  const connection = await open(HALF_HEAD);
  await sleep(SEEN_AFTER);
  connection.socket.write(HEAD.slice(HALF_HEAD.length));
  blockEventLoop(STALL);
  await eventually(() => connection.received.includes('200 OK'));
  expect(closed).toEqual([]);
});

test('a connection on which nothing is sent is closed after the idle timeout', async () => {
  setIdleTimeout(100);
  const {socket} = await open();
  await eventually(() => socket.closed);
  expect(closed).toEqual(['unused']);
});

test('a new connection is served in place of the one that has been unused for longest', async () => {
  const unused: Socket[] = [];
  for (let count = 0; count < MAX_CONNECTIONS; count += 1) {
    unused.push((await open()).socket);
  }
  const caller = await open(HEAD);
  await eventually(() => caller.received.includes('200 OK'));
  await eventually(() => unused[0]?.closed);
  expect(unused.slice(1).some(socket => socket.closed)).toBe(false);
  expect(closed).toEqual(['tooMany']);
});

test('a new connection is served in place of one on which a request does not arrive', async () => {
  const slow: Socket[] = [];
  closeArriving = () => {
    slow.shift()?.destroy();
    return true;
  };
  const unfinished = HEAD.replace('Length: 0', 'Length: 9');
  for (let count = 0; count < MAX_CONNECTIONS; count += 1) {
    slow.push((await open(unfinished)).socket);
  }
  await eventually(() => handled === MAX_CONNECTIONS);
  const caller = await open(HEAD);
  await eventually(() => caller.received.includes('200 OK'));
  expect(slow.length).toBe(MAX_CONNECTIONS - 1);
});

test('headers that take too much memory together are closed, the largest first', async () => {
  const large = await open(`${HALF_HEAD}${'\r\nab:'.repeat(2_900)}`);
  const small = await open(HALF_HEAD);
  await eventually(() => large.socket.closed);
  expect(closed).toEqual(['largeHeader']);
  expect(small.socket.closed).toBe(false);
});

// Node.js drops the lines beyond a limit of its own, unless it is told another.
test('a header of many lines keeps all of them', async () => {
  const lines = Array.from({length: 3_000}, () => 'a:');
  const caller = await open(
    HEAD.replace('Host: a', ['Host: a', ...lines].join('\r\n')),
  );
  await eventually(() => caller.received.includes('200 OK'));
  expect(headerLines).toBe(lines.length + 2);
});

// A packet may hold hundreds of requests, each of which takes a slot.
test('a connection with many requests that are not answered is closed', async () => {
  answers = () => undefined;
  const caller = await open(HEAD.repeat(100));
  await eventually(() => caller.socket.closed);
  expect(closed).toEqual(['pipelined']);
  expect(handled).toBe(4);
});

// Node.js reports the end of a connection to the response that is sent only.
test('all requests on a connection end with it', async () => {
  const responses: ServerResponse[] = [];
  answers = response => void responses.push(response);
  const caller = await open(HEAD.repeat(3));
  await eventually(() => handled === 3);
  const ended = responses.map(response => once(response, 'close'));
  caller.socket.destroy();
  await Promise.all(ended);
  expect(responses.every(({destroyed}) => destroyed)).toBe(true);
});
