import {createServer, type Server, type ServerResponse} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {endWithConnection} from '../../packages/fleet/src/entry/answer_framing';

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

/**
 * How the connection of a caller ends that reads after a delay, and how many
 * bytes it has received.
 */
function endOfAnswer(delay = 0): Promise<{end: string; size: number}> {
  const {port} = server.address() as AddressInfo;
  const caller = connect(port, '127.0.0.1');
  caller.write('GET / HTTP/1.1\r\nHost: a.example\r\n\r\n');
  caller.pause();
  let size = 0;
  return new Promise(resolve => {
    caller.on('data', (bytes: Buffer) => (size += bytes.length));
    caller.once('end', () => resolve({end: 'end', size}));
    caller.once('error', (error: NodeJS.ErrnoException) =>
      resolve({end: error.code ?? error.message, size}),
    );
    setTimeout(() => caller.resume(), delay);
  });
}

test('an answer without a length is reset if its connection closes before its end', async () => {
  answer = response => {
    response.write('half');
    setTimeout(() => response.destroy(), 50);
  };
  expect((await endOfAnswer()).end).toBe('ECONNRESET');
});

test('an answer without a length that is read late is whole', async () => {
  answer = response => response.end(Buffer.alloc(LARGE_ANSWER_BYTES));
  const {end, size} = await endOfAnswer(300);
  expect(end).toBe('end');
  expect(size).toBeGreaterThan(LARGE_ANSWER_BYTES);
});
