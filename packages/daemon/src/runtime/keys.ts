import {createHash, timingSafeEqual} from 'node:crypto';
import type {HashedKey} from '../types/settings';

const BEARER = /^Bearer (\S{1,512})$/;

/** Returns the key in an `authorization` header, or undefined without one. */
export function bearerKey(header: string | undefined): string | undefined {
  return header === undefined ? undefined : BEARER.exec(header)?.[1];
}

/**
 * Returns the name whose stored hash matches `key`. Compares with every stored
 * hash in constant time, so that the timing reveals nothing about the keys.
 */
export function findKeyName<Name extends string>(
  keys: readonly HashedKey<Name>[],
  key: string | undefined,
): Name | undefined {
  if (key === undefined) return undefined;
  const digest = createHash('sha256').update(key, 'utf8').digest();
  let found: Name | undefined;
  for (const stored of keys) {
    if (timingSafeEqual(digest, Buffer.from(stored.sha256, 'hex'))) {
      found = stored.name;
    }
  }
  return found;
}

/** Whether two keys are equal, compared in constant time. */
export function isSameKey(left: string, right: string): boolean {
  const leftDigest = createHash('sha256').update(left, 'utf8').digest();
  const rightDigest = createHash('sha256').update(right, 'utf8').digest();
  return timingSafeEqual(leftDigest, rightDigest);
}
