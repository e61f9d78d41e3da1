import {status} from '@grpc/grpc-js';
import * as fc from 'fast-check';
import {SITE_METHODS, type SiteMethod} from './grpc_callers';

/** The method that serves a request at an agent. */
export const SERVE = methodNamed('Serve');
/** The method that collects a finished answer. */
export const COLLECT = methodNamed('Collect');
/** The method that prevents an attempt from running. */
export const TOMBSTONE = methodNamed('Tombstone');
/** The session between processes. */
export const SESSION = methodNamed('Session');

function methodNamed(name: string): SiteMethod {
  const found = SITE_METHODS.find(({path}) => path.endsWith(`/${name}`));
  if (found === undefined) throw new Error(name);
  return found;
}

/** Expected status without a valid key; only agents serve the Agent methods. */
export function expectedWithoutKey(
  position: number,
  {path}: SiteMethod,
): status {
  const isAgentsOnly = path.includes('Agent') && position === 0;
  return isAgentsOnly ? status.UNIMPLEMENTED : status.UNAUTHENTICATED;
}

/** Numbers of any size. */
export const number = fc.oneof(fc.nat(5), fc.maxSafeNat());
/** Arbitrary, malformed and very long text. */
export const text = fc.oneof(
  fc.string(),
  fc.string({unit: 'binary', maxLength: 50}),
  fc.constantFrom('', 'a#1', '#1', 'a#', 'a#99999999999999999999', '\0'),
  fc.integer({min: 1_000, max: 100_000}).map(length => 'x'.repeat(length)),
);
