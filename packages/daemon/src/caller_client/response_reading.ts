import {createHash} from 'node:crypto';
import type {Milliseconds, NotRunReason} from '@hibiscusbeam/core';
import * as z from 'zod';
import type {EntryResponse} from './exchange';
import type {CallerOutcome, GeneratedAnswer} from './types';

/** What one send came to. */
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

/** Reads a response other than 200. */
export async function readRefusal<Answer>(
  response: EntryResponse,
): Promise<AttemptResult<Answer>> {
  const body = await response.json().catch(() => undefined);
  const outcome = outcomeOf<Answer>(body);
  if (outcome !== undefined) return outcome;
  const rejection = REJECTION.safeParse(body).data;
  const {status} = response;
  // Only an entry's own word makes a request rejected; 5xx from anybody else
  // on the way says nothing about whether it ran.
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

/** Reads the result of a plain service's operation. */
export async function readResult(
  response: EntryResponse,
): Promise<AttemptResult<unknown>> {
  try {
    return {kind: 'answered', answer: await response.json()};
  } catch {
    return unknownOutcome('the answer broke off');
  }
}

/** Reads a stream of tokens; only one with its end line is an answer. */
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
          // A hole or a double would change what the answer says.
          if (line.sequence !== texts.length) {
            return unknownOutcome('a token is lost');
          }
          texts.push(line.text);
          hash.update(line.text);
          onToken(line.text);
          break;
        case 'outcome':
          return outcomeOf(line) ?? unknownOutcome('the answer broke off');
        case 'end': {
          const digest = `sha256:${hash.digest('hex')}`;
          const isComplete =
            line.count === texts.length && line.digest === digest;
          if (!isComplete || versionDigest === undefined) {
            return unknownOutcome('the answer does not fit its end');
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
    return unknownOutcome(`the answer broke off: ${String(error)}`);
  }
  // A stream that closes without its end line is no answer.
  return unknownOutcome('the answer has no end');
}
