import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {createEngineClient} from '../../packages/daemon/src/targets/engine_client';
import {createTargetExchange} from '../../packages/daemon/src/targets/http_exchange';

const TIMEOUT = 5_000;

const BLOCK = Buffer.alloc(65_536, 'x');

let server: Server;
let url: string;

beforeEach(async () => {
  server = createServer((_request, response) => {
    const more = (): void => {
      while (!response.destroyed && response.write(BLOCK));
      if (!response.destroyed) response.once('drain', () => setImmediate(more));
    };
    response.on('error', () => undefined);
    more();
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
});

afterEach(() => {
  server.closeAllConnections();
  server.close();
});

// Guards against a process that keeps a faulty target's bytes until the timeout.
test('a call ends with an error if its target sends bytes without end', async () => {
  const exchange = createTargetExchange(url, 1);
  const signal = AbortSignal.timeout(TIMEOUT);
  const received = await exchange.bytes({method: 'GET', path: '/', signal});
  expect(received.val).toMatchObject({kind: 'malformed'});
  await exchange.close();
});

test('a generation ends with an error if its engine sends a line without end', async () => {
  const engine = createEngineClient(url, 'agent');
  const signal = AbortSignal.timeout(TIMEOUT);
  const frames = [];
  for await (const frame of engine.generate({} as never, signal)) {
    frames.push(frame);
  }
  expect(frames.map(({val}) => val)).toMatchObject([{kind: 'malformed'}]);
  await engine.close();
});
