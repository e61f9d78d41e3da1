import type {Milliseconds, PlatformError} from '@hibiscusbeam/core';

/** When to come back if the platform refused without saying when. */
const DEFAULT_RETRY_AFTER: Milliseconds = 100;

const FIRST_ERROR_STATUS = 400;
const FIRST_SERVER_ERROR_STATUS = 500;

/** Errors that come before the first byte of a request is sent. */
const CONNECT_ERROR_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Whether a call may have taken effect when its answer did not come. */
export type CallEffect = 'read' | 'write';

/** The part of a response that says whether the call was refused. */
export interface ResponseHead {
  readonly statusCode: number;
  readonly headers: {
    readonly [name: string]: string | readonly string[] | undefined;
  };
}

function retryAfterOf(response: ResponseHead): Milliseconds {
  const retryAfter = Number(response.headers['retry-after-ms']);
  return Number.isFinite(retryAfter) ? retryAfter : DEFAULT_RETRY_AFTER;
}

/** What a response other than a success means; undefined for a success. */
export function responseErrorOf(
  response: ResponseHead,
  effect: CallEffect,
): PlatformError | undefined {
  const {statusCode} = response;
  const detail = `status ${statusCode}`;
  if (statusCode < FIRST_ERROR_STATUS) return undefined;
  switch (statusCode) {
    case 404:
      return {kind: 'notFound', detail};
    case 429:
      return {kind: 'rateLimited', retryAfter: retryAfterOf(response)};
    case 503:
      return {kind: 'unavailable', detail};
  }
  if (statusCode < FIRST_SERVER_ERROR_STATUS) {
    return {kind: 'malformed', detail};
  }
  // Any other server error may come after the write took effect, for example
  // from a gateway that lost the answer; only reading back can tell.
  return {kind: effect === 'write' ? 'replyLost' : 'unavailable', detail};
}

function codeOf(error: unknown): string {
  if (!(error instanceof Error)) return '';
  return 'code' in error ? String(error.code) : '';
}

/** What a call that ended without a whole response means. */
export function transportErrorOf(
  error: unknown,
  effect: CallEffect,
): PlatformError {
  const detail = error instanceof Error ? error.message : String(error);
  if (effect === 'read') return {kind: 'unavailable', detail};
  if (CONNECT_ERROR_CODES.has(codeOf(error))) {
    return {kind: 'unavailable', detail};
  }
  // A write whose answer did not come may have taken effect: the connection
  // may have been cut, or the time run out, after the platform wrote it.
  return {kind: 'replyLost', detail};
}
