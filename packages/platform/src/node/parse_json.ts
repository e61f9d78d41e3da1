import type {PlatformError} from '@hibiscusbeam/core';
import {Err, Ok} from 'ts-results';
import type {Result} from 'ts-results';
import type {ZodType} from 'zod';

/** Error of an answer that is not JSON or doesn't match its schema. */
type MalformedError = Extract<PlatformError, {readonly kind: 'malformed'}>;

function jsonOrUndefined(content: string): unknown {
  try {
    return JSON.parse(content);
  } catch {
    return undefined;
  }
}

/** Parses JSON and validates it against `schema`; errors name `source`. */
export function parseJson<Body>(
  content: string,
  schema: ZodType<Body>,
  source: string,
): Result<Body, MalformedError> {
  const parsed = schema.safeParse(jsonOrUndefined(content));
  if (parsed.success) return Ok(parsed.data);
  const detail = `${source}: unexpected answer: ${parsed.error.message}`;
  return Err({kind: 'malformed', detail});
}
