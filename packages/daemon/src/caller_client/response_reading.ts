import {createHash} from 'node:crypto';
import type {Milliseconds, NotRunReason} from '@hibiscusbeam/core';
import * as z from 'zod';
import type {EntryResponse} from './exchange';
import type {CallerOutcome, GeneratedAnswer} from './types';

/** The result of one attempt. */
export type AttemptResult<Answer> =
  | Exclude<CallerOutcome<Answer>, {readonly kind: 'notRun'}>
  | {
      readonly kind: 'notRun';
      readonly reason: NotRunReason;
      readonly retryAfter: Milliseconds;
    };

const OUTCOME = z.discriminatedUnion('outcome', [
  z.object({
    outcome: z.literal('notRun'),
    reason: z.string().transform(reason => reason as NotRunReason),
    retryAfterMilliseconds: z.number().nonnegative(),
  }),
  z.object({outcome: z.literal('outcomeUnknown'), detail: z.string()}),
]);

const REJECTION = z.object({error: z.string(), detail: z.string()});

const LINE = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('started'), versionDigest: z.string()}),
  z.object({
    kind: z.literal('token'),
    sequence: z.number().int(),
    text: z.string(),
  }),
  z.object({
    kind: z.literal('end'),
    count: z.number().int(),
    digest: z.string(),
  }),
  z.looseObject({kind: z.literal('outcome')}),
]);

function unknownOutcome<Answer>(detail: string): AttemptResult<Answer> {
  return {kind: 'outcomeUnknown', detail};
}

/** Reads a response whose status is not 200. */
export async function readRefusal<Answer>(
  response: EntryResponse,
): Promise<AttemptResult<Answer>> {
  const body = await response.json().catch(() => undefined);
  const outcome = outcomeOf<Answer>(body);
  if (outcome !== undefined) return outcome;
  const rejection = REJECTION.safeParse(body).data;
  const {status} = response;
  // Only an entry can reject a request. A 5xx from a proxy in between doesn't
  // tell whether the request ran.
  if (rejection === undefined || status >= 500) {
    return unknownOutcome(`status ${status} without an outcome`);
  }
  return {kind: 'rejected', status, ...rejection};
}

function outcomeOf<Answer>(body: unknown): AttemptResult<Answer> | undefined {
  const outcome = OUTCOME.safeParse(body).data;
  if (outcome === undefined) return undefined;
  if (outcome.outcome === 'outcomeUnknown') {
    return unknownOutcome(outcome.detail);
  }
  const {reason, retryAfterMilliseconds: retryAfter} = outcome;
  return {kind: 'notRun', reason, retryAfter};
}

/** Reads the result of an operation of a plain service. */
export async function readResult(
  response: EntryResponse,
): Promise<AttemptResult<unknown>> {
  try {
    return {kind: 'answered', answer: await response.json()};
  } catch {
    return unknownOutcome('the response body could not be read');
  }
}

/** Reads a stream of tokens; it is an answer only with a valid end line. */
export async function readStream(
  response: EntryResponse,
  onToken: (text: string) => void,
): Promise<AttemptResult<GeneratedAnswer>> {
  const hash = createHash('sha256');
  const texts: string[] = [];
  let versionDigest: string | undefined;
  try {
    for await (const text of response.lines()) {
      const line = LINE.parse(JSON.parse(text));
      switch (line.kind) {
        case 'started':
          versionDigest = line.versionDigest;
          break;
        case 'token':
          // A missing or repeated token would change the answer.
          if (line.sequence !== texts.length) {
            return unknownOutcome('a token is missing');
          }
          texts.push(line.text);
          hash.update(line.text);
          onToken(line.text);
          break;
        case 'outcome':
          return outcomeOf(line) ?? unknownOutcome('the outcome is malformed');
        case 'end': {
          const digest = `sha256:${hash.digest('hex')}`;
          const isComplete =
            line.count === texts.length && line.digest === digest;
          if (!isComplete || versionDigest === undefined) {
            return unknownOutcome('the answer does not match its end line');
          }
          const answer = {
            text: texts.join(''),
            versionDigest,
            tokenCount: texts.length,
          };
          return {kind: 'answered', answer};
        }
      }
    }
  } catch (error) {
    return unknownOutcome(`the stream could not be read: ${String(error)}`);
  }
  // Without the end line, the answer may be truncated.
  return unknownOutcome('the stream has no end line');
}
