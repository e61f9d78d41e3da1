import type {Digest, PlatformError} from '@hibiscusbeam/core';
import type {WeightStore} from '@hibiscusbeam/platform';
import {createServer, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {Err, Ok, type Result} from 'ts-results';
import {Agent, request} from 'undici';
import {createLink} from './links';

/** Size of the pieces in which every sender of the benchmark sends a chunk. */
export function pieceBytes(chunkBytes: number): number {
  return Math.max(1024, Math.ceil(chunkBytes / 4));
}

/** An HTTP origin of weights behind a single link. */
export interface Origin {
  readonly url: string;
  readonly bytesSent: () => number;
  readonly publish: (content: ReadonlyMap<Digest, Uint8Array>) => void;
  readonly startOutage: (milliseconds: number) => void;
  readonly close: () => void;
}

/** Starts an origin whose link transfers `bytesPerSecond` in total. */
export async function startOrigin(
  bytesPerSecond: number,
  chunkBytes: number,
): Promise<Origin> {
  const chunks = new Map<Digest, Uint8Array>();
  const link = createLink(bytesPerSecond, chunkBytes);
  const open = new Set<ServerResponse>();
  let bytesSent = 0;
  let isDown = false;

  async function send(chunk: Uint8Array, response: ServerResponse) {
    const step = pieceBytes(chunkBytes);
    for (let from = 0; from < chunk.length; from += step) {
      const piece = chunk.subarray(from, from + step);
      await link.transfer(piece.length);
      if (response.destroyed) return;
      bytesSent += piece.length;
      response.write(piece);
    }
    response.end();
  }

  const server = createServer((incoming, response) => {
    const chunk = chunks.get(decodeURIComponent(incoming.url!.slice(1)));
    if (isDown || chunk === undefined) {
      response.writeHead(isDown ? 503 : 404).end();
      return;
    }
    open.add(response);
    response.on('close', () => open.delete(response));
    void send(chunk, response);
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;

  return {
    url: `http://127.0.0.1:${port}`,
    bytesSent: () => bytesSent,
    publish(content) {
      for (const [digest, bytes] of content) chunks.set(digest, bytes);
    },
    startOutage(milliseconds) {
      isDown = true;
      for (const response of open) response.destroy();
      setTimeout(() => (isDown = false), milliseconds);
    },
    close() {
      server.closeAllConnections();
      server.close();
    },
  };
}

/** Creates a client that reads chunks from the origin. */
export function createOriginClient(url: string): Pick<WeightStore, 'chunk'> {
  const dispatcher = new Agent({connections: 64, pipelining: 1});
  return {
    async *chunk(
      digest,
      signal,
    ): AsyncGenerator<Result<Uint8Array, PlatformError>> {
      try {
        const reply = await request(`${url}/${digest}`, {dispatcher, signal});
        if (reply.statusCode !== 200) {
          await reply.body.dump();
          yield Err({kind: 'unavailable', detail: `${reply.statusCode}`});
          return;
        }
        for await (const piece of reply.body) yield Ok(piece as Uint8Array);
      } catch (error) {
        yield Err({kind: 'unavailable', detail: String(error)});
      }
    },
  };
}
