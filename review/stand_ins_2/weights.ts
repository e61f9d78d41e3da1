import {createHash} from 'node:crypto';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {sleep} from './waiting';

/** Size of a chunk, and the number of a version's chunks. */
export const CHUNK_BYTES = 49_152;
export const CHUNKS = 48;

/** Link of the origin: 15 Mbit/s. */
const ORIGIN_BYTES_PER_MS = 1_875;

/** The bytes of a version's chunk. */
export function chunkOf(version: number, position: number): Buffer {
  return Buffer.alloc(CHUNK_BYTES, `version ${version} chunk ${position} `);
}

/** An origin of weights. */
export interface Origin {
  readonly address: string;
  readonly close: () => void;
}

/** Starts an origin on a free loopback port; its link is as narrow as theirs. */
export async function startOrigin(newest: () => number): Promise<Origin> {
  let freeAt = 0;
  const server = createServer((request, response) => {
    const url = new URL(request.url ?? '/', 'http://origin');
    const version = Number(url.searchParams.get('Version') ?? newest());
    if (url.pathname.startsWith('/manifest/')) {
      const Digests = Array.from({length: CHUNKS}, (_, position) =>
        createHash('sha256').update(chunkOf(version, position)).digest('hex'),
      );
      const Model = url.pathname.split('/').at(-1);
      const manifest = {
        Model,
        Version: version,
        ChunkBytes: CHUNK_BYTES,
        layers: 16,
        Digests,
      };
      response.writeHead(200, {'Content-Type': 'application/json'});
      return void response.end(JSON.stringify(manifest));
    }
    const now = performance.now();
    freeAt = Math.max(now, freeAt) + CHUNK_BYTES / ORIGIN_BYTES_PER_MS;
    const position = Number(url.searchParams.get('Num'));
    void sleep(freeAt - now).then(() =>
      response.writeHead(200).end(chunkOf(version, position)),
    );
  });
  await new Promise<void>(done => server.listen(0, '127.0.0.1', done));
  const {port} = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}
