import {createHash} from 'node:crypto';
import type {Digest} from '@hibiscusbeam/core';

/** `sha256:<hexadecimal>` of a text or bytes. */
export function digestOf(content: string | Uint8Array): Digest {
  return `sha256:${createHash('sha256').update(content).digest('hex')}`;
}
