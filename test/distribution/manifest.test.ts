import {checkManifest, type Manifest} from '@hibiscusbeam/core';
import {describe, expect, test} from 'vitest';
import {digestOf, generateVersion} from './versions';

const {versionDigest, manifest} = generateVersion('1', ['a', 'b', 'c']);

function faultsOf(changed: Manifest | undefined): readonly string[] {
  const checked = checkManifest(versionDigest, changed, digestOf);
  return checked.ok ? [] : checked.val.map(fault => fault.kind);
}

describe('manifest check', () => {
  test('accepts a valid manifest', () => {
    expect(faultsOf(manifest)).toEqual([]);
  });

  test('rejects a missing version', () => {
    expect(faultsOf(undefined)).toEqual(['versionMissing']);
  });

  test('rejects a manifest with a different digest', () => {
    expect(faultsOf({...manifest, label: '2'})).toEqual(['wrongDigest']);
  });

  test('rejects a manifest without chunks', () => {
    expect(faultsOf({...manifest, chunks: []})).toContain('noChunks');
  });

  test('reports every chunk fault with its position', () => {
    const [first, second] = manifest.chunks;
    const checked = checkManifest(
      versionDigest,
      {
        ...manifest,
        chunks: [
          first!,
          {...first!, size: 0},
          {...second!, size: 2 ** 40},
          {digest: 'sha256:00', size: 1.5},
        ],
      },
      digestOf,
    );
    expect(checked.val).toMatchObject([
      {kind: 'wrongDigest'},
      {kind: 'duplicateChunk', position: 1, firstPosition: 0},
      {kind: 'chunkSizeOutOfBounds', position: 1},
      {kind: 'chunkSizeOutOfBounds', position: 2},
      {kind: 'malformedDigest', position: 3},
      {kind: 'chunkSizeOutOfBounds', position: 3},
    ]);
  });

  test('rejects too many chunks and a version that is too large', () => {
    const chunks = Array.from({length: 65_537}, (_, index) => ({
      digest: `sha256:${index.toString(16).padStart(64, '0')}`,
      size: 256 * 1024 * 1024,
    }));
    const found = faultsOf({...manifest, chunks});
    expect(found).toContain('tooManyChunks');
    expect(found).toContain('versionTooLarge');
  });
});
