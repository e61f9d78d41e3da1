import type {Milliseconds, PlatformError} from '@hibiscusbeam/core';

/** Retry delay if the platform refuses a call without naming one. */
const DEFAULT_RETRY_AFTER: Milliseconds = 100;

const FIRST_ERROR_STATUS = 400;
const FIRST_SERVER_ERROR_STATUS = 500;

/** Codes of errors that occur before the first byte of a request is sent. */
const CONNECT_ERROR_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Whether a call only reads or may take effect even if no answer arrives. */
export type CallEffect = 'read' | 'write';

/** Status and headers of a response. */
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

/** Maps an error status to a platform error; undefined for a success. */
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
  // Any other server error may follow a write that took effect, for example
  // from a gateway that lost the answer; only reading back can tell.
  return {kind: effect === 'write' ? 'replyLost' : 'unavailable', detail};
}

function codeOf(error: unknown): string {
  if (!(error instanceof Error)) return '';
  return 'code' in error ? String(error.code) : '';
}

/**
 * Maps the failure of a call without a complete response to a platform error.
 */
export function transportErrorOf(
  error: unknown,
  effect: CallEffect,
): PlatformError {
  const detail = error instanceof Error ? error.message : String(error);
  if (effect === 'read') return {kind: 'unavailable', detail};
  if (CONNECT_ERROR_CODES.has(codeOf(error))) {
    return {kind: 'unavailable', detail};
  }
  // A write without an answer may have taken effect: the connection may have
  // been closed, or the call timed out, after the platform wrote it.
  return {kind: 'replyLost', detail};
}
