import {createServer, type Server, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {endWithConnection} from '../../packages/fleet/src/entry/answer_framing';
import {sendOnSocket, type SocketCaller} from './fixtures/socket_caller';

let server: Server;
let answer: (response: ServerResponse) => void;

beforeEach(async () => {
  server = createServer((_request, response) => {
    endWithConnection(response);
    response.writeHead(200);
    answer(response);
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
});

afterEach(() => server.close());

/** More than the system buffers for a caller that does not read. */
const LARGE_ANSWER_BYTES = 1024 * 1024;

function sendRequest(): SocketCaller {
  const {port} = server.address() as AddressInfo;
  return sendOnSocket(`127.0.0.1:${port}`, '/', {Host: 'a.example'});
}

test('an answer without a length is reset if its connection closes before its end', async () => {
  const closing = new Promise<() => void>(resolve => {
    answer = response => {
      response.write('half');
      resolve(() => response.destroy());
    };
  });
  const {socket, received} = sendRequest();
  socket.once('data', () => void closing.then(close => close()));
  expect((await received).end).toBe('ECONNRESET');
});

test('an answer without a length that is read late is whole', async () => {
  answer = response => response.end(Buffer.alloc(LARGE_ANSWER_BYTES));
  const {socket, received} = sendRequest();
  socket.pause();
  setTimeout(() => socket.resume(), 300);
  const {end, text} = await received;
  expect(end).toBe('end');
  expect(text.length).toBeGreaterThan(LARGE_ANSWER_BYTES);
});
