import {createHash} from 'node:crypto';
import {createServer, type IncomingMessage} from 'node:http';
import type {AddressInfo} from 'node:net';

/** How a fake entry responds to one request. */
export type EntryScript =
  | {readonly kind: 'stream'; readonly lines: readonly object[]}
  /** Sends the lines and closes the connection. */
  | {readonly kind: 'cut'; readonly lines: readonly object[]}
  | {readonly kind: 'reply'; readonly status: number; readonly body: object};

/** A request as an entry received it. */
export interface ReceivedRequest {
  readonly entry: string;
  readonly path: string;
  readonly key: string | undefined;
  readonly body: string;
}

/** Entries on loopback that respond by script. */
export interface FakeEntries {
  readonly addresses: readonly string[];
  readonly received: readonly ReceivedRequest[];
  /** Number of requests for the list of entries. */
  readonly listRequests: () => number;
  readonly close: () => Promise<void>;
}

/** Returns the lines of a complete answer. */
export function completeAnswer(tokens: readonly string[]): readonly object[] {
  const digest = createHash('sha256').update(tokens.join('')).digest('hex');
  return [
    {kind: 'started', versionDigest: 'sha256:v'},
    ...tokens.map((text, sequence) => ({kind: 'token', sequence, text})),
    {kind: 'end', count: tokens.length, digest: `sha256:${digest}`},
  ];
}

async function readBody(request: IncomingMessage): Promise<string> {
  let body = '';
  for await (const part of request) body += String(part);
  return body;
}

/** Starts one entry per zone. All share one script, which is used in order. */
export async function startFakeEntries(
  zones: readonly string[],
  script: readonly EntryScript[],
): Promise<FakeEntries> {
  const pending = [...script];
  const received: ReceivedRequest[] = [];
  const addresses: string[] = [];
  let listRequests = 0;
  const servers = zones.map((_zone, position) =>
    createServer((request, response) => {
      if (request.url === '/v1/entries') {
        listRequests += 1;
        const entries = addresses.map((address, at) => ({
          address,
          zone: zones[at],
          region: 'region',
        }));
        response.end(JSON.stringify({entries, keepForMilliseconds: 1000}));
        return;
      }
      void readBody(request).then(body => {
        const key = request.headers['idempotency-key'];
        received.push({
          entry: addresses[position]!,
          path: request.url!,
          key: typeof key === 'string' ? key : undefined,
          body,
        });
        const next = pending.shift();
        if (next === undefined) return response.writeHead(500).end();
        if (next.kind === 'reply') {
          return response.writeHead(next.status).end(JSON.stringify(next.body));
        }
        const text = next.lines
          .map(line => `${JSON.stringify(line)}\n`)
          .join('');
        if (next.kind === 'stream') return response.end(text);
        return response.write(text || ' ', () => response.destroy());
      });
    }),
  );
  for (const server of servers) {
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', resolve);
    });
    addresses.push(`127.0.0.1:${(server.address() as AddressInfo).port}`);
  }
  return {
    addresses,
    received,
    listRequests: () => listRequests,
    async close() {
      for (const server of servers) {
        server.closeAllConnections();
        await new Promise(resolve => server.close(resolve));
      }
    },
  };
}
