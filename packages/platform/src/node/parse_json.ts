import type {PlatformError} from '@hibiscusbeam/core';
import {Err, Ok} from 'ts-results';
import type {Result} from 'ts-results';
import type {ZodType} from 'zod';

/** An answer that is not as agreed. */
type MalformedError = Extract<PlatformError, {readonly kind: 'malformed'}>;

function jsonOrUndefined(content: string): unknown {
  try {
    return JSON.parse(content);
  } catch {
    return undefined;
  }
}

/** JSON that fits `schema`; `source` is named in the error. */
export function parseJson<Body>(
  content: string,
  schema: ZodType<Body>,
  source: string,
): Result<Body, MalformedError> {
  const parsed = schema.safeParse(jsonOrUndefined(content));
  if (parsed.success) return Ok(parsed.data);
  const detail = `${source}: answer does not fit: ${parsed.error.message}`;
  return Err({kind: 'malformed', detail});
}
