import type {Digest, Manifest} from '@hibiscusbeam/core';
import {digestOf} from '../shared/digest';

/** Chunks that agents have put; their content is checked only on a load. */
export interface ChunkStore {
  readonly put: (digest: Digest, content: Buffer) => void;
  readonly get: (digest: Digest) => Buffer | undefined;
  readonly remove: (digest: Digest) => void;
  readonly digests: () => readonly Digest[];
  /** Digests of the manifest's chunks that are missing or corrupted. */
  readonly missing: (manifest: Manifest) => Promise<readonly Digest[]>;
}

/** Creates an empty store; with `trustChunks` the content is not checked. */
export function createChunkStore(trustChunks: boolean): ChunkStore {
  const chunks = new Map<Digest, Buffer>();
  const verified = new Set<Digest>();

  async function isIntact(digest: Digest, size: number): Promise<boolean> {
    const content = chunks.get(digest);
    if (content === undefined || content.length !== size) return false;
    if (trustChunks || verified.has(digest)) return true;
    // One chunk per turn of the event loop, so that hashing does not block
    // running streams for long.
    await new Promise(setImmediate);
    if (digestOf(content) !== digest) return false;
    if (chunks.get(digest) === content) verified.add(digest);
    return true;
  }

  return {
    put: (digest, content) => {
      verified.delete(digest);
      chunks.set(digest, content);
    },
    get: digest => chunks.get(digest),
    remove: digest => {
      verified.delete(digest);
      chunks.delete(digest);
    },
    digests: () => [...chunks.keys()],
    missing: async manifest => {
      const missing: Digest[] = [];
      for (const {digest, size} of manifest.chunks) {
        if (!(await isIntact(digest, size))) missing.push(digest);
      }
      return missing;
    },
  };
}
