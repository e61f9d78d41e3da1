import {createHash} from 'node:crypto';
import type {Digest, DigestText} from '@hibiscusbeam/core';

const PREFIX = 'sha256:';

/** SHA-256 of a text encoded as UTF-8. */
export const digestText: DigestText = text =>
  PREFIX + createHash('sha256').update(text, 'utf8').digest('hex');

/** SHA-256 of bytes. */
export function digestBytes(content: Uint8Array): Digest {
  return PREFIX + createHash('sha256').update(content).digest('hex');
}

/** Computes a digest over bytes that arrive in parts. */
export interface Digester {
  readonly update: (content: Uint8Array) => void;
  readonly finish: () => Digest;
}

/** Starts an incremental SHA-256. */
export function createDigester(): Digester {
  const hash = createHash('sha256');
  return {
    update: content => void hash.update(content),
    finish: () => PREFIX + hash.digest('hex'),
  };
}
