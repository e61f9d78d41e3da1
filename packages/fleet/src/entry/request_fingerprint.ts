import type {
  PromptPartDigest,
  RequestFingerprint,
  WorkspaceName,
} from '@hibiscusbeam/core';
import {createHash} from 'node:crypto';

/**
 * Hexadecimal digits of the hash that are kept; 128 bits make a collision
 * negligible.
 */
const FINGERPRINT_DIGITS = 32;

/** Hexadecimal digits of a part's digest, which each request's log line has. */
const PART_DIGITS = 16;

/** The parts of a request that stay the same when its caller retries it. */
export interface FingerprintedContent {
  /** Undefined for an anonymous caller. */
  readonly workspace: WorkspaceName | undefined;
  readonly path: string;
  /** The body, in order. */
  readonly blocks: readonly Buffer[];
}

/**
 * Identifies a request by its caller and content. The request id can't be used
 * since it is new for each attempt.
 */
export function fingerprintOf({
  workspace,
  path,
  blocks,
}: FingerprintedContent): RequestFingerprint {
  const hash = createHash('sha256');
  hash.update(JSON.stringify([workspace ?? null, path]));
  for (const block of blocks) hash.update(block);
  return hash.digest('hex').slice(0, FINGERPRINT_DIGITS);
}

/** Identifies a part of a prompt, whichever request contains it. */
export function promptPartDigest(id: string): PromptPartDigest {
  return createHash('sha256')
    .update(JSON.stringify(['prompt part', id]))
    .digest('hex')
    .slice(0, PART_DIGITS);
}
