import {
  credentials,
  Server,
  ServerCredentials,
  type ServerWritableStream,
} from '@grpc/grpc-js';
import type {RequestFailure} from '@hibiscusbeam/core';
import {
  handleFetchChunk,
  fetchChunkOverGrpc,
  type SwarmDriver,
} from '@hibiscusbeam/daemon';
import {
  AgentClient,
  AgentService,
  type ChunkPiece,
  type FetchChunkRequest,
} from '@hibiscusbeam/wire';
import {setTimeout as sleep} from 'node:timers/promises';
import {Err, Ok} from 'ts-results';
import {afterEach, describe, expect, test} from 'vitest';

const PIECE_BYTES = 64 * 1024;

/**
 * Limit for the flow-control windows and socket buffers between two processes.
 */
const MAX_BUFFERED_BYTES = 8 * 1024 * 1024;

const closers: (() => void)[] = [];

afterEach(() => {
  for (const close of closers.splice(0)) close();
});

async function serve(
  serveChunk: SwarmDriver['serveChunk'],
): Promise<AgentClient> {
  const server = new Server();
  type Call = ServerWritableStream<FetchChunkRequest, ChunkPiece>;
  server.addService(AgentService, {
    fetchChunk: (call: Call) => void handleFetchChunk(call, {serveChunk}),
  });
  const port = await new Promise<number>((resolve, reject) => {
    const insecure = ServerCredentials.createInsecure();
    server.bindAsync('127.0.0.1:0', insecure, (error, bound) =>
      error === null ? resolve(bound) : reject(error),
    );
  });
  const client = new AgentClient(
    `127.0.0.1:${port}`,
    credentials.createInsecure(),
  );
  closers.push(() => {
    client.close();
    server.forceShutdown();
  });
  return client;
}

describe('chunks over gRPC', () => {
  test('a slow reader slows down the sender', async () => {
    let sentBytes = 0;
    async function* endless() {
      while (sentBytes < 64 * MAX_BUFFERED_BYTES) {
        sentBytes += PIECE_BYTES;
        yield Buffer.alloc(PIECE_BYTES);
      }
    }
    const client = await serve(async () => Ok(endless()));
    const controller = new AbortController();
    const pieces = fetchChunkOverGrpc(client, 'a', 'd', controller.signal);
    await pieces.next();
    let before = -1;
    while (before !== sentBytes) {
      before = sentBytes;
      await sleep(300);
    }
    expect(sentBytes).toBeLessThan(MAX_BUFFERED_BYTES);
    controller.abort();
    await pieces.return(undefined);
  });

  test.each<RequestFailure>([
    {kind: 'busy', retryAfter: 250},
    {kind: 'notHeld'},
    {kind: 'unavailable'},
  ])('forwards the refusal $kind to the reader', async failure => {
    const client = await serve(async () => Err(failure));
    const {signal} = new AbortController();
    const seen = [];
    for await (const piece of fetchChunkOverGrpc(client, 'a', 'd', signal)) {
      seen.push(piece.val);
    }
    expect(seen).toEqual([failure]);
  });

  // A chunk that waits in a long queue is as silent as a frozen sender. Without
  // keep-alive pieces its reader would request it from another sender, and the
  // rollout would copy it twice.
  test('sends keep-alive pieces while a chunk waits for its slot', async () => {
    let admit = () => {};
    const admitted = new Promise<void>(resolve => (admit = resolve));
    async function* chunk() {
      yield Buffer.from('bytes');
    }
    const client = await serve(async () => {
      await admitted;
      return Ok(chunk());
    });
    const {signal} = new AbortController();
    const pieces = fetchChunkOverGrpc(client, 'a', 'd', signal);
    const first = await pieces.next();
    admit();
    expect(first.value.val.length).toBe(0);
    const rest = [];
    for await (const piece of pieces) rest.push(String(piece.val));
    expect(rest.join('')).toBe('bytes');
  });

  test('reports the reader to the sender, and when it is gone', async () => {
    let reader = '';
    let isGone = false;
    const client = await serve(async (instance, _digest, signal) => {
      reader = instance;
      await new Promise(resolve => signal.addEventListener('abort', resolve));
      isGone = true;
      return Err({kind: 'unavailable'});
    });
    const controller = new AbortController();
    const pieces = fetchChunkOverGrpc(
      client,
      'agent-7',
      'd',
      controller.signal,
    );
    const first = pieces.next();
    while (reader === '') await sleep(5);
    controller.abort();
    await first;
    while (!isGone) await sleep(5);
    expect(reader).toBe('agent-7');
  });
});
