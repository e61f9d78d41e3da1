import type {RequestFingerprint, WorkspaceName} from '@hibiscusbeam/core';
import {createHash} from 'node:crypto';

/**
 * Hexadecimal digits of the hash that are kept; 128 bits make a collision
 * negligible.
 */
const FINGERPRINT_DIGITS = 32;

/** The parts of a request that stay the same when its caller retries it. */
export interface FingerprintedContent {
  /** Undefined for an anonymous caller. */
  readonly workspace: WorkspaceName | undefined;
  readonly path: string;
  readonly body: Buffer;
}

/**
 * Identifies a request by its caller and content. The request id can't be used
 * since it is new for each attempt.
 */
export function fingerprintOf({
  workspace,
  path,
  body,
}: FingerprintedContent): RequestFingerprint {
  return createHash('sha256')
    .update(JSON.stringify([workspace ?? null, path]))
    .update(body)
    .digest('hex')
    .slice(0, FINGERPRINT_DIGITS);
}
