import {Worker} from 'node:worker_threads';
import {expect, test} from 'vitest';
import {callHttp} from '../../packages/fleet/src/link/http_calls';

const SERVER = `
  const {parentPort} = require('node:worker_threads');
  const server = require('node:http').createServer((request, response) =>
    setTimeout(() => response.end('whole'), 460));
  server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port));`;

function blockEventLoop(duration: number): void {
  const until = performance.now() + duration;
  while (performance.now() < until);
}

test('an answer that arrives while the event loop is blocked shortly before the timeout is read', async () => {
  const worker = new Worker(SERVER, {eval: true});
  const port = await new Promise<number>(resolve =>
    worker.once('message', resolve),
  );
  const call = callHttp({
    address: `127.0.0.1:${port}`,
    method: 'GET',
    path: '/',
    timeout: 500,
  });
  // Like work triggered by a socket: timers run before the sockets are read
  // again.
  setTimeout(() => setImmediate(blockEventLoop, 400), 430);
  const reply = await call;
  await worker.terminate();
  expect(reply.ok).toBe(true);
});
