import {createServer, type AddressInfo, type Socket} from 'node:net';
import {Worker} from 'node:worker_threads';
import {afterEach, expect, test} from 'vitest';
import {
  callHttp,
  type CallProgress,
} from '../../packages/fleet/src/link/http_calls';
import {freeAddress} from './fixtures/host_site';

const closing: (() => void)[] = [];

afterEach(() => closing.splice(0).forEach(close => close()));

/**
 * Starts a server that calls `answer` with each connection; returns its
 * address.
 */
async function serve(answer: (socket: Socket) => void): Promise<string> {
  const sockets = new Set<Socket>();
  const server = createServer(socket => {
    sockets.add(socket);
    socket.on('error', () => socket.destroy());
    answer(socket);
  });
  closing.push(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  await new Promise<void>(done => server.listen(0, '127.0.0.1', done));
  const {port} = server.address() as AddressInfo;
  return `127.0.0.1:${port}`;
}

async function progressOf(
  address: string,
  heldFor?: number,
): Promise<CallProgress | undefined> {
  const path = '/';
  const reply = await callHttp({
    address,
    method: 'GET',
    path,
    timeout: 400,
    heldFor,
  });
  return reply.err ? reply.val.progress : undefined;
}

test('a server that accepts a connection and sends nothing is silent', async () => {
  expect(await progressOf(await serve(() => undefined))).toBe('silent');
});

test('a server that may hold its answer back is not silent yet', async () => {
  const address = await serve(() => undefined);
  expect(await progressOf(address, 5_000)).toBe('underWay');
});

test('an answer that has begun is in progress', async () => {
  const address = await serve(socket => {
    socket.write('HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf');
  });
  expect(await progressOf(address)).toBe('underWay');
});

test('a connection that the server ends is broken', async () => {
  const address = await serve(socket => socket.destroy());
  expect(await progressOf(address)).toBe('broken');
  expect(await progressOf(await freeAddress())).toBe('broken');
});

/** Starts a server in a worker thread that answers after `delay`. */
async function startServerInWorker(delay: number): Promise<string> {
  const worker = new Worker(
    `const {createServer} = require('node:http');
     const {parentPort} = require('node:worker_threads');
     const server = createServer((request, response) =>
       setTimeout(() => response.end('late'), ${delay}));
     server.listen(0, '127.0.0.1', () =>
       parentPort.postMessage(server.address().port));`,
    {eval: true},
  );
  closing.push(() => void worker.terminate());
  const port = await new Promise(resolve => worker.once('message', resolve));
  return `127.0.0.1:${String(port)}`;
}

test('an answer that arrived while this process was stalled counts', async () => {
  const address = await startServerInWorker(200);
  const call = () =>
    callHttp({
      address,
      method: 'GET',
      path: '/',
      timeout: 600,
      connection: 'kept',
    });
  (await call()).unwrap();
  const reply = call();
  await new Promise(resolve => setTimeout(resolve, 50));
  await new Promise<void>(resolve =>
    // Data that arrives meanwhile is read after the expired timers have run.
    setImmediate(() => {
      const until = performance.now() + 700;
      while (performance.now() < until);
      resolve();
    }),
  );
  expect((await reply).unwrap().body.toString()).toBe('late');
});

/** Sends an answer in 30 parts, one every 50 ms. */
async function serveSlowly(): Promise<string> {
  return serve(socket => {
    socket.write('HTTP/1.1 200 OK\r\ncontent-length: 30\r\n\r\n');
    let sent = 0;
    const timer = setInterval(() => {
      sent += 1;
      socket.write('x');
      if (sent === 30) clearInterval(timer);
    }, 50);
    socket.on('close', () => clearInterval(timer));
  });
}

// After all processes were started, a table of 0.4 MB takes 4 s over a full
// link. With a timeout of 0.8 s and retries it never arrived.
test('a long answer is read as long as its bytes arrive', async () => {
  const call = {
    address: await serveSlowly(),
    method: 'GET',
    path: '/',
  } as const;
  const given = await callHttp({...call, timeout: 900, longest: 60_000});
  expect(given.unwrap().body.length).toBe(30);
  const ended = await callHttp({...call, timeout: 900, longest: 1_000});
  expect(ended.err && ended.val.progress).toBe('underWay');
});
