import {createServer, type Server, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {endWithConnection} from '../../packages/fleet/src/entry/answer_framing';
import {sendOnSocket, type ReceivedAnswer} from './fixtures/socket_caller';

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

/** Sends a request whose caller reads after a delay, in milliseconds. */
function receive(delay = 0): Promise<ReceivedAnswer> {
  const {port} = server.address() as AddressInfo;
  const {socket, received} = sendOnSocket(`127.0.0.1:${port}`, '/', {
    Host: 'a.example',
  });
  socket.pause();
  setTimeout(() => socket.resume(), delay);
  return received;
}

test('an answer without a length is reset if its connection closes before its end', async () => {
  answer = response => {
    response.write('half');
    setTimeout(() => response.destroy(), 50);
  };
  expect((await receive()).end).toBe('ECONNRESET');
});

test('an answer without a length that is read late is whole', async () => {
  answer = response => response.end(Buffer.alloc(LARGE_ANSWER_BYTES));
  const {end, text} = await receive(300);
  expect(end).toBe('end');
  expect(text.length).toBeGreaterThan(LARGE_ANSWER_BYTES);
});
