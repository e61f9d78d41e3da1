import {openExchange} from '../../packages/fleet/src/entry/exchange';
import {readFile} from 'node:fs/promises';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {afterEach, expect, test} from 'vitest';
import {requestProtocol} from '../../platform/request_protocol';
import {arrivedBody} from './fixtures/request_body';

const closing: (() => void)[] = [];

afterEach(() => {
  for (const close of closing.splice(0)) close();
});

/**
 * Starts a target that answers each connection with `answer`; returns its
 * address.
 */
async function startTarget(answer: (socket: Socket) => void): Promise<string> {
  const server = createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => answer(socket));
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  closing.push(() => server.close());
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

const buffers = {trackTarget: () => undefined};

async function readAnswer(
  address: string,
  mayBegin = () => true,
  protocol = requestProtocol,
) {
  const lines = ['Host', 'a.example'];
  const body = arrivedBody();
  const onError = (): void => undefined;
  const exchange = openExchange(
    {
      address,
      method: 'GET',
      path: '/',
      lines,
      body,
      mayBegin,
      buffers,
      onError,
    },
    protocol,
  );
  const answer = await exchange.answer;
  if (answer.err) return {failure: answer.val};
  const {body: received, isWhole} = answer.val;
  let text = '';
  await new Promise<void>(resolve => {
    received.on('data', (part: Buffer) => (text += part.toString()));
    received.on('error', () => resolve());
    received.on('close', () => resolve());
  });
  return {text, isWhole: isWhole()};
}

test('a body that ends with its connection is complete', async () => {
  const address = await startTarget(socket =>
    socket.end('HTTP/1.1 200 OK\r\n\r\nall of it'),
  );
  expect(await readAnswer(address)).toEqual({text: 'all of it', isWhole: true});
});

// A target crashes in the middle of an answer without a length. The reset ends
// the body like a regular end of the connection, so the caller would get half a
// body that looks complete.
test('a body without a length that is cut by a reset is not complete', async () => {
  const address = await startTarget(socket => {
    socket.write('HTTP/1.1 200 OK\r\n\r\nhalf', () =>
      setTimeout(() => socket.resetAndDestroy(), 50),
    );
  });
  expect(await readAnswer(address)).toMatchObject({isWhole: false});
});

// Both arrive before the process reads, as after a suspension.
test('a body without a length that is cut by a reset together with its last bytes is not complete', async () => {
  const address = await startTarget(socket => {
    socket.write('HTTP/1.1 200 OK\r\n\r\nhalf');
    socket.resetAndDestroy();
  });
  expect(await readAnswer(address)).toEqual({text: 'half', isWhole: false});
});

test('a chunked body that ends without its last chunk is not complete', async () => {
  const address = await startTarget(socket =>
    socket.end(
      'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n',
    ),
  );
  expect(await readAnswer(address)).toMatchObject({isWhole: false});
});

// An entry of an earlier version may pass on a row with such an address.
test('an address that can not be used fails its exchange only', async () => {
  expect(await readAnswer('127.0.0.1:99999')).toMatchObject({
    failure: {kind: 'notConnected'},
  });
});

test('an error while a head is read fails its exchange only', async () => {
  const address = await startTarget(socket =>
    socket.end('HTTP/1.1 200 OK\r\n\r\nall of it'),
  );
  const protocol = {
    ...requestProtocol,
    readAnswer: () => {
      throw new Error('not readable');
    },
  };
  expect(await readAnswer(address, () => true, protocol)).toMatchObject({
    failure: {kind: 'unknown', cause: 'malformedAnswer'},
  });
});

test('a port without a listener proves that nothing was sent', async () => {
  const address = await startTarget(() => undefined);
  for (const close of closing.splice(0)) close();
  await new Promise(resolve => setTimeout(resolve, 10));
  expect(await readAnswer(address)).toMatchObject({
    failure: {kind: 'connectionRefused'},
  });
});

// An entry stalls between choosing an engine and sending. By then the engine's
// version has passed its staleness bound, and the request must not start on it.
test('sends nothing if the request may no longer begin once connected', async () => {
  let connections = 0;
  let received = 0;
  const address = await startTarget(() => (received += 1));
  const outcome = await readAnswer(address, () => {
    connections += 1;
    return false;
  });
  expect(outcome.failure).toMatchObject({kind: 'outdated'});
  expect(connections).toBe(1);
  await new Promise(resolve => setTimeout(resolve, 50));
  expect(received).toBe(0);
});

test('a connection that opened while the event loop was stalled past the connect timeout is used', async () => {
  const address = await startTarget(socket =>
    socket.end('HTTP/1.1 200 OK\r\n\r\nall of it'),
  );
  // Continues in a turn of the event loop that reads sockets, after which
  // timers run before any socket is read.
  await readFile('package.json');
  const answer = readAnswer(address);
  process.nextTick(() => blockEventLoop(300));
  expect(await answer).toEqual({text: 'all of it', isWhole: true});
});

function blockEventLoop(duration: number): void {
  const until = performance.now() + duration;
  while (performance.now() < until);
}
