import type {RequestFingerprint, WorkspaceName} from '@hibiscusbeam/core';
import {createHash} from 'node:crypto';

/** Hexadecimal digits that are kept; 128 bits don't collide by chance. */
const FINGERPRINT_DIGITS = 32;

/** What stays the same when a caller sends a request again. */
export interface FingerprintedContent {
  /** Undefined for an anonymous caller. */
  readonly workspace: WorkspaceName | undefined;
  readonly path: string;
  readonly body: Buffer;
}

/** Names a request by its caller and content; its id is new at each attempt. */
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
