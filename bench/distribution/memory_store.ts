import type {Digest, Manifest} from '@hibiscusbeam/core';
import type {ChunkStore} from '@hibiscusbeam/daemon';
import {Err, Ok} from 'ts-results';
import {pieceBytes} from './origin';
import {digestOf} from './version';

/** In-memory chunk store of an instance. */
export interface MemoryStore extends ChunkStore {
  readonly preload: (digest: Digest, bytes: Uint8Array) => void;
  /** Resolves once the chunk is held. */
  readonly whenHeld: (digest: Digest) => Promise<void>;
  /** Whether every chunk is held and matches its digest. */
  readonly verify: (manifest: Manifest) => boolean;
}

/** Creates an empty store. */
export function createMemoryStore(): MemoryStore {
  const chunks = new Map<Digest, Uint8Array>();
  const waiters = new Map<Digest, (() => void)[]>();

  function keep(digest: Digest, bytes: Uint8Array): void {
    chunks.set(digest, bytes);
    for (const resolve of waiters.get(digest) ?? []) resolve();
    waiters.delete(digest);
  }

  return {
    async put(digest, pieces) {
      keep(digest, Buffer.concat(pieces));
      return Ok(undefined);
    },
    list: async () => Ok({life: 'first', digests: [...chunks.keys()]}),
    async *get(digest) {
      const chunk = chunks.get(digest);
      if (chunk === undefined) {
        yield Err({kind: 'notHeld', detail: digest});
        return;
      }
      const step = pieceBytes(chunk.length);
      for (let from = 0; from < chunk.length; from += step) {
        yield Ok(chunk.subarray(from, from + step));
      }
    },
    preload: keep,
    whenHeld(digest) {
      if (chunks.has(digest)) return Promise.resolve();
      return new Promise(resolve => {
        waiters.set(digest, [...(waiters.get(digest) ?? []), resolve]);
      });
    },
    verify: manifest =>
      manifest.chunks.every(({digest}) => {
        const bytes = chunks.get(digest);
        return bytes !== undefined && digestOf(bytes) === digest;
      }),
  };
}
