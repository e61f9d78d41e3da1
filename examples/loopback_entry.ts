import {createHash} from 'node:crypto';
import {createServer, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';

/** A stand-in for an entry that lets the example run without a site. */
export interface LoopbackEntry {
  readonly address: string;
  readonly close: () => void;
}

const TOKENS = ['Blade ', 'motor ', 'is ', 'worn.'];

function writeAnswer(response: ServerResponse): void {
  const digest = createHash('sha256').update(TOKENS.join('')).digest('hex');
  const lines = [
    {kind: 'started', versionDigest: `sha256:${'0'.repeat(64)}`},
    ...TOKENS.map((text, sequence) => ({kind: 'token', sequence, text})),
    {kind: 'end', count: TOKENS.length, digest: `sha256:${digest}`},
  ];
  response.end(lines.map(line => `${JSON.stringify(line)}\n`).join(''));
}

/** Starts the stand-in. It refuses the first charge, like a busy site. */
export async function startLoopbackEntry(): Promise<LoopbackEntry> {
  let charges = 0;
  const server = createServer((request, response) => {
    request.resume();
    if (request.url === '/v1/entries') {
      const entries = [{address: address(), zone: 'bilbao-hall', region: 'es'}];
      response.end(JSON.stringify({entries, keepForMilliseconds: 30_000}));
      return;
    }
    if (request.url?.startsWith('/v1/models/')) return writeAnswer(response);
    charges += 1;
    if (charges > 1) return void response.end('{"charged":true}');
    const reason = 'queueFull';
    const refusal = {outcome: 'notRun', reason, retryAfterMilliseconds: 50};
    response.writeHead(429, {'retry-after': '1'});
    response.end(JSON.stringify(refusal));
  });
  const address = (): string =>
    `127.0.0.1:${(server.address() as AddressInfo).port}`;
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {address: address(), close: () => void server.close()};
}
