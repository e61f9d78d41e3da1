import {
  unreachable,
  type ForwardResult,
  type Milliseconds,
} from '@hibiscusbeam/core';
import type {ServerResponse} from 'node:http';

/** An answer that the entry itself gives, without a target. */
export interface LocalAnswer {
  readonly status: 400 | 401 | 404 | 408 | 413 | 417 | 502 | 503 | 504;
  readonly reason: string;
  /**
   * When to retry; only with answers that guarantee that the request did not
   * run.
   */
  readonly retryAfter?: Milliseconds;
}

/** Retry-After for callers whose request no target accepted. */
const DEFAULT_RETRY_AFTER: Milliseconds = 250;

const MS_PER_SECOND = 1_000;

/**
 * Returns the local answer for a result, or undefined if there is nothing left
 * to answer.
 */
export function localAnswerFor(result: ForwardResult): LocalAnswer | undefined {
  switch (result.kind) {
    case 'passOn':
    case 'streamed':
    case 'cut':
    case 'callerGone':
      return undefined;
    case 'notRun':
      return notRun(result.reason, result.retryAfter);
    case 'unknown':
      return {status: 502, reason: result.cause};
    case 'timedOut':
      return result.mayHaveRun
        ? {status: 504, reason: 'timedOut'}
        : notRun('timedOut', undefined);
    default:
      return unreachable(result);
  }
}

/** An answer that guarantees that the request has not run and will not run. */
export function notRun(
  reason: string,
  retryAfter: Milliseconds | undefined,
): LocalAnswer {
  return {status: 503, reason, retryAfter: retryAfter ?? DEFAULT_RETRY_AFTER};
}

/** Writes a local answer. */
export function writeLocalAnswer(
  response: ServerResponse,
  answer: LocalAnswer,
  ownLines: readonly string[],
): void {
  response.end(beginLocalAnswer(response, answer, ownLines));
}

/** Sends a local answer whole, but leaves the response open. */
export function sendLocalAnswer(
  response: ServerResponse,
  answer: LocalAnswer,
  ownLines: readonly string[],
): void {
  response.write(beginLocalAnswer(response, answer, ownLines));
}

/** Writes the header; returns the body. */
function beginLocalAnswer(
  response: ServerResponse,
  answer: LocalAnswer,
  ownLines: readonly string[],
): string {
  const text = `${answer.reason}\n`;
  const lines = [
    ...['Content-Type', 'text/plain'],
    ...['Content-Length', String(Buffer.byteLength(text))],
    ...ownLines,
  ];
  if (answer.retryAfter !== undefined) {
    const seconds = (answer.retryAfter / MS_PER_SECOND).toFixed(3);
    lines.push('Retry-After', seconds);
  }
  response.writeHead(answer.status, lines);
  return text;
}
