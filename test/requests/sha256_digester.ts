import {createHash} from 'node:crypto';
import type {Digester} from '@hibiscusbeam/core';

/** SHA-256 as the flows expect it. */
export function createSha256Digester(): Digester {
  const hash = createHash('sha256');
  return {
    update: bytes => void hash.update(bytes),
    finish: () => `sha256:${hash.digest('hex')}`,
  };
}

/** Bytes of a text. */
export function bytesOf(text: string): Uint8Array {
  return new TextEncoder().encode(text);
}

/** The digest of frames in order. */
export function digestOf(frames: readonly Uint8Array[]): string {
  const digester = createSha256Digester();
  for (const frame of frames) digester.update(frame);
  return digester.finish();
}
