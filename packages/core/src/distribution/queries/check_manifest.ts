import {Err, Ok, type Result} from 'ts-results';
import type {
  Digest,
  DigestText,
  IdentifiedManifest,
  Manifest,
  VersionDigest,
} from '../../types';
import {canonicalJson} from '../../utils/canonical_json';
import * as bounds from '../bounds';

/** One fault in a manifest; positions count from 0. */
export type ManifestFault =
  | {readonly kind: 'versionMissing'}
  | {
      readonly kind: 'wrongDigest';
      readonly expected: VersionDigest;
      readonly found: Digest;
    }
  | {readonly kind: 'noChunks'}
  | {readonly kind: 'tooManyChunks'; readonly count: number}
  | {readonly kind: 'malformedDigest'; readonly position: number}
  | {
      readonly kind: 'duplicateChunk';
      readonly position: number;
      readonly firstPosition: number;
    }
  | {
      readonly kind: 'chunkSizeOutOfBounds';
      readonly position: number;
      readonly size: number;
    }
  | {readonly kind: 'versionTooLarge'; readonly size: number};

const DIGEST_PATTERN = /^sha256:[0-9a-f]{64}$/;

/** Returns the manifest if it can be distributed, or all of its faults. */
export function checkManifest(
  versionDigest: VersionDigest,
  manifest: Manifest | undefined,
  digestText: DigestText,
): Result<IdentifiedManifest, readonly ManifestFault[]> {
  if (manifest === undefined) return Err([{kind: 'versionMissing'}]);
  const faults: ManifestFault[] = [
    ...digestFaults(versionDigest, manifest, digestText),
    ...countFaults(manifest),
    ...chunkFaults(manifest),
    ...totalFaults(manifest),
  ];
  if (faults.length > 0) return Err(faults);
  return Ok({versionDigest, manifest});
}

function digestFaults(
  expected: VersionDigest,
  manifest: Manifest,
  digestText: DigestText,
): readonly ManifestFault[] {
  const {model, label} = manifest;
  const chunks = manifest.chunks.map(({digest, size}) => ({digest, size}));
  const found = digestText(canonicalJson({model, label, chunks}));
  return found === expected ? [] : [{kind: 'wrongDigest', expected, found}];
}

function countFaults(manifest: Manifest): readonly ManifestFault[] {
  const count = manifest.chunks.length;
  if (count === 0) return [{kind: 'noChunks'}];
  return count > bounds.MAX_CHUNKS ? [{kind: 'tooManyChunks', count}] : [];
}

function chunkFaults(manifest: Manifest): readonly ManifestFault[] {
  const faults: ManifestFault[] = [];
  const seen = new Map<Digest, number>();
  manifest.chunks.forEach(({digest, size}, position) => {
    if (!DIGEST_PATTERN.test(digest)) {
      faults.push({kind: 'malformedDigest', position});
    }
    const firstPosition = seen.get(digest);
    if (firstPosition === undefined) seen.set(digest, position);
    else faults.push({kind: 'duplicateChunk', position, firstPosition});
    if (!isChunkSize(size)) {
      faults.push({kind: 'chunkSizeOutOfBounds', position, size});
    }
  });
  return faults;
}

function totalFaults(manifest: Manifest): readonly ManifestFault[] {
  const size = manifest.chunks.reduce((sum, chunk) => sum + chunk.size, 0);
  return size > bounds.MAX_VERSION_BYTES
    ? [{kind: 'versionTooLarge', size}]
    : [];
}

function isChunkSize(size: number): boolean {
  if (!Number.isSafeInteger(size)) return false;
  return size > 0 && size <= bounds.MAX_CHUNK_BYTES;
}
