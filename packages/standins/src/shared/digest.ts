import {createHash} from 'node:crypto';
import type {Digest} from '@hibiscusbeam/core';

/** Digest of a text or bytes, as `sha256:<hexadecimal>`. */
export function digestOf(content: string | Uint8Array): Digest {
  return `sha256:${createHash('sha256').update(content).digest('hex')}`;
}
