import {createServer} from 'node:net';

const FIRST_PORT = 12_000;
const PORT_COUNT = 20_000;

let nextOffset = (process.pid * 97) % PORT_COUNT;

/**
 * Returns a free loopback address, outside the range from which the system
 * takes ports for outgoing connections.
 */
export async function freeAddress(): Promise<string> {
  for (;;) {
    nextOffset = (nextOffset + 1) % PORT_COUNT;
    const port = FIRST_PORT + nextOffset;
    if (await isFree(port)) return `127.0.0.1:${port}`;
  }
}

function isFree(port: number): Promise<boolean> {
  const server = createServer();
  return new Promise(resolve => {
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}
