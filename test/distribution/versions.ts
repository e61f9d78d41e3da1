import {
  canonicalJson,
  type Digest,
  type IdentifiedManifest,
  type Manifest,
} from '@hibiscusbeam/core';
import {createHash} from 'node:crypto';

/** SHA-256 of a text or of bytes, as a digest. */
export function digestOf(content: string | Uint8Array): Digest {
  return `sha256:${createHash('sha256').update(content).digest('hex')}`;
}

/** A version with the bytes of its chunks. */
export interface GeneratedVersion extends IdentifiedManifest {
  readonly content: ReadonlyMap<Digest, Uint8Array>;
}

/**
 * Generates a version of `names.length` chunks; equal names give equal chunks.
 */
export function generateVersion(
  label: string,
  names: readonly string[],
  chunkSize = 64,
): GeneratedVersion {
  const content = new Map<Digest, Uint8Array>();
  const chunks = names.map(name => {
    const bytes = Buffer.alloc(chunkSize, `${name};`);
    const digest = digestOf(bytes);
    content.set(digest, bytes);
    return {digest, size: chunkSize};
  });
  const manifest: Manifest = {model: 'repair-notes', label, chunks};
  const versionDigest = digestOf(canonicalJson(manifest as never));
  return {versionDigest, manifest, content};
}
