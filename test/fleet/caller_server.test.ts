import {once} from 'node:events';
import type {ServerResponse} from 'node:http';
import {connect, type Socket} from 'node:net';
import {afterEach, beforeEach, expect, test} from 'vitest';
import type {CallerServer} from '../../packages/fleet/src/entry/caller_server';
import {createTestCallerServer} from './fixtures/caller_server';
import {freeAddress} from './fixtures/host_site';

const REQUEST = 'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi';
const HALF_REQUEST = REQUEST.slice(0, 12);

const SHORT_TIME = 100;
const LONG_TIME = 60_000;

/** Longer than a connection is kept with the short idle time. */
const OVER_SHORT_TIME = 1_600;

const MAX_CONNECTIONS = 3;
const MAX_HEADER_MEMORY = 100_000;

let server: CallerServer;
let caller: Socket;
let onRequest: (response: ServerResponse) => void;

beforeEach(async () => {
  onRequest = response => response.end('yes');
  server = createTestCallerServer(
    (request, response) => {
      request.resume().once('end', () => onRequest(response));
    },
    {maxConnections: MAX_CONNECTIONS, maxHeaderMemory: MAX_HEADER_MEMORY},
  );
  const address = await freeAddress();
  await server.listen(address);
  caller = connect(Number(address.split(':')[1]), '127.0.0.1');
  caller.on('error', () => undefined);
});

afterEach(async () => {
  caller.destroy();
  await server.close();
});

function setIdleTimeout(idleTimeout: number): void {
  server.setLimits({headerBytes: 16_384, headerTimeout: 3_000, idleTimeout});
}

/** The next bytes from the entry, or `closed` if it closed the connection. */
function nextAnswer(): Promise<string> {
  if (caller.closed) return Promise.resolve('closed');
  return new Promise(resolve => {
    caller.once('data', bytes => resolve(bytes.toString()));
    caller.once('close', () => resolve('closed'));
  });
}

function sendRequest(text = REQUEST): Promise<string> {
  caller.write(text);
  return nextAnswer();
}

function sleep(duration: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, duration));
}

function blockEventLoop(duration: number): void {
  const until = performance.now() + duration;
  while (performance.now() < until);
}

test('a connection that stays idle is closed', async () => {
  setIdleTimeout(SHORT_TIME);
  expect(await sendRequest()).toContain('200 OK');
  expect(await nextAnswer()).toBe('closed');
});

test('a request that arrives while the event loop is stalled past the idle timeout is answered', async () => {
  setIdleTimeout(SHORT_TIME);
  expect(await sendRequest()).toContain('200 OK');
  const second = sendRequest();
  blockEventLoop(OVER_SHORT_TIME);
  expect(await second).toContain('200 OK');
});

test('a request whose beginning arrives while the event loop is stalled past the idle timeout is answered', async () => {
  setIdleTimeout(SHORT_TIME);
  expect(await sendRequest()).toContain('200 OK');
  const second = sendRequest(HALF_REQUEST);
  blockEventLoop(OVER_SHORT_TIME);
  await sleep(SHORT_TIME);
  caller.write(REQUEST.slice(HALF_REQUEST.length));
  expect(await second).toContain('200 OK');
});

test('an idle connection is kept for a longer idle timeout that takes effect', async () => {
  setIdleTimeout(SHORT_TIME);
  expect(await sendRequest()).toContain('200 OK');
  setIdleTimeout(LONG_TIME);
  await sleep(OVER_SHORT_TIME);
  expect(await sendRequest()).toContain('200 OK');
});

test('an idle connection is kept for the announced idle timeout even if a shorter one takes effect', async () => {
  setIdleTimeout(LONG_TIME);
  onRequest = response => {
    setIdleTimeout(SHORT_TIME);
    response.end('yes');
  };
  expect(await sendRequest()).toContain(`timeout=${LONG_TIME / 1_000}`);
  await sleep(OVER_SHORT_TIME);
  expect(await sendRequest()).toContain('200 OK');
});

test('a request that lasts longer than the idle timeout is answered', async () => {
  setIdleTimeout(SHORT_TIME);
  expect(await sendRequest()).toContain('200 OK');
  onRequest = response =>
    void setTimeout(() => response.end('late'), OVER_SHORT_TIME);
  expect(await sendRequest()).toContain('late');
});

test('a request that has arrived when the server closes is answered', async () => {
  expect(await sendRequest()).toContain('200 OK');
  const second = sendRequest();
  void server.close();
  expect(await second).toContain('200 OK');
});

test('a request on an open connection is answered after the server stops listening', async () => {
  expect(await sendRequest()).toContain('200 OK');
  const unused = connect(caller.remotePort!, '127.0.0.1');
  await once(unused, 'connect');
  await server.stopListening();
  expect(await sendRequest()).toContain('200 OK');
  unused.write(REQUEST);
  expect(String(await once(unused, 'data'))).toContain('200 OK');
  unused.destroy();
  const refused = connect(caller.remotePort!, '127.0.0.1');
  await expect(once(refused, 'connect')).rejects.toThrow('ECONNREFUSED');
});
