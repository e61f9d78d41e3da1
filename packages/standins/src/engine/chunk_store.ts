import type {Digest, Manifest} from '@hibiscusbeam/core';
import {digestOf} from '../shared/digest';

/** Chunks that agents have put; a wrong one is noticed when it is loaded. */
export interface ChunkStore {
  readonly put: (digest: Digest, content: Buffer) => void;
  readonly get: (digest: Digest) => Buffer | undefined;
  readonly remove: (digest: Digest) => void;
  readonly digests: () => readonly Digest[];
  /** Digests of the manifest's chunks that are not there or have other bytes. */
  readonly missing: (manifest: Manifest) => Promise<readonly Digest[]>;
}

/** An empty store. With `trustChunks` content is not checked. */
export function createChunkStore(trustChunks: boolean): ChunkStore {
  const chunks = new Map<Digest, Buffer>();
  const verified = new Set<Digest>();

  async function isIntact(digest: Digest, size: number): Promise<boolean> {
    const content = chunks.get(digest);
    if (content === undefined || content.length !== size) return false;
    if (trustChunks || verified.has(digest)) return true;
    // One chunk a turn, so that running streams are not held up for long.
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
