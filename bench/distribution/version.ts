import {
  canonicalJson,
  type Digest,
  type IdentifiedManifest,
} from '@hibiscusbeam/core';
import {createCipheriv, createHash} from 'node:crypto';

/** A version with the content of its chunks. */
export interface BenchVersion extends IdentifiedManifest {
  readonly content: ReadonlyMap<Digest, Uint8Array>;
}

/** The SHA-256 digest of the content. */
export function digestOf(content: string | Uint8Array): Digest {
  return `sha256:${createHash('sha256').update(content).digest('hex')}`;
}

/** Generates a version; its first `sharedChunks` chunks ignore the label. */
export function generateVersion(
  label: string,
  seed: number,
  chunkCount: number,
  chunkBytes: number,
  sharedChunks = 0,
): BenchVersion {
  const content = new Map<Digest, Uint8Array>();
  const chunks = Array.from({length: chunkCount}, (_, position) => {
    const origin = position < sharedChunks ? 'shared' : label;
    const bytes = generateBytes(`${origin}:${seed}:${position}`, chunkBytes);
    const digest = digestOf(bytes);
    content.set(digest, bytes);
    return {digest, size: chunkBytes};
  });
  const manifest = {model: 'repair-notes', label, chunks};
  return {versionDigest: digestOf(canonicalJson(manifest)), manifest, content};
}

function generateBytes(name: string, size: number): Uint8Array {
  const key = createHash('sha256').update(name).digest();
  const cipher = createCipheriv('aes-256-ctr', key, Buffer.alloc(16));
  return cipher.update(Buffer.alloc(size));
}
