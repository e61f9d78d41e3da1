import {once} from 'node:events';
import {createServer} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import {expect, test} from 'vitest';
import {destroyWithParser} from '../../packages/fleet/src/runtime/request_parser';

const REQUEST = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';

// Node.js parses and keeps what was read together with the request.
test('the requests behind one whose connection is destroyed are not parsed', async () => {
  let requests = 0;
  const server = createServer(({socket}) => {
    requests += 1;
    destroyWithParser(socket);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
  caller.on('error', () => undefined);
  caller.resume();
  caller.write(REQUEST.repeat(100));
  await once(caller, 'close');
  expect(requests).toBe(1);
  server.close();
});
