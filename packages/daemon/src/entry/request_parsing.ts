import * as z from 'zod';
import {Err, Ok, type Result} from 'ts-results';
import type {Milliseconds} from '@hibiscusbeam/core';
import type {HttpRefusal} from './http_errors';

/** Deadline of a request without one. */
const DEFAULT_DEADLINE: Milliseconds = 30_000;

/** Users expect this for 95 of 100 requests; callers may set another value. */
const DEFAULT_FIRST_TOKEN_WITHIN: Milliseconds = 1_900;

const MAX_KEY_LENGTH = 200;

const DURATION = /^(\d{1,9})(ms|s|m)$/;

const UNIT_MILLISECONDS: Readonly<Record<string, number>> = {
  ms: 1,
  s: 1_000,
  m: 60_000,
};

const duration = z
  .string()
  .regex(DURATION, 'write a duration with its unit, for example 5s')
  .transform(text => {
    const [, amount, unit] = DURATION.exec(text) ?? [];
    return Number(amount) * (UNIT_MILLISECONDS[unit ?? ''] ?? 0);
  })
  .refine(value => value > 0, 'must be above zero');

const GENERATE = z.strictObject({
  prompt: z.string().min(1),
  maximumTokens: z.number().int().min(1).max(65_536).default(256),
  firstTokenWithin: duration.default(DEFAULT_FIRST_TOKEN_WITHIN),
  deadline: duration.default(DEFAULT_DEADLINE),
});

/** The body of a request for an answer of a model. */
export interface GenerateBody {
  readonly prompt: string;
  readonly maximumTokens: number;
  /** A request whose first token is expected later is refused at once. */
  readonly firstTokenWithin: Milliseconds;
  readonly deadline: Milliseconds;
}

/** Parses the body of a request to a model; limits its deadline. */
export function parseGenerate(
  body: unknown,
  maxDeadline: Milliseconds,
): Result<GenerateBody, HttpRefusal> {
  const parsed = GENERATE.safeParse(body);
  if (!parsed.success) return Err(refusalOf(parsed.error));
  const {deadline} = parsed.data;
  return Ok({...parsed.data, deadline: Math.min(deadline, maxDeadline)});
}

/** Parses a deadline from a header such as `x-deadline: 5s`; limits it. */
export function parseDeadline(
  header: string | undefined,
  maxDeadline: Milliseconds,
): Result<Milliseconds, HttpRefusal> {
  if (header === undefined) {
    return Ok(Math.min(DEFAULT_DEADLINE, maxDeadline));
  }
  const parsed = duration.safeParse(header);
  if (!parsed.success) {
    return Err({
      kind: 'badField',
      field: 'x-deadline',
      detail: 'write a duration with its unit, for example 5s',
    });
  }
  return Ok(Math.min(parsed.data, maxDeadline));
}

/** Checks the format of an idempotency key. */
export function parseIdempotencyKey(
  header: string | undefined,
): Result<string, HttpRefusal> {
  const bad = (detail: string) =>
    Err({kind: 'badField', field: 'idempotency-key', detail} as const);
  if (header === undefined) {
    return bad('this operation runs at most once: send an idempotency key');
  }
  if (header.length > MAX_KEY_LENGTH) {
    return bad(`at most ${MAX_KEY_LENGTH} characters`);
  }
  if (!/^[\w.:-]+$/.test(header)) {
    return bad('use letters, digits, dot, colon, hyphen and underscore');
  }
  return Ok(header);
}

function refusalOf(error: z.ZodError): HttpRefusal {
  const issue = error.issues[0];
  const field = issue?.path.join('.') ?? '';
  return {
    kind: 'badField',
    field: field === '' ? 'body' : field,
    detail: issue?.message ?? 'not understood',
  };
}
