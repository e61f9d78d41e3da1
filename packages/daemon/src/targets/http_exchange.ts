import {
  ANSWER_HEAD_FAULT_CODE,
  RECEIVING_FAULT_CODE,
  readWholeBody,
  type Bytes,
  type Milliseconds,
} from '@hibiscusbeam/core';
import {createCheckedPool} from '@hibiscusbeam/platform';
import type {Readable} from 'node:stream';
import {Err, Ok, type Result} from 'ts-results';
import type {Dispatcher} from 'undici';
import type {z} from 'zod';
import {monotonicClock} from '../runtime/clock';
import type {TargetError} from './types';

/** Default call timeout, after which the call counts as cut. */
const CALL_TIMEOUT: Milliseconds = 10_000;

const CONNECT_TIMEOUT: Milliseconds = 2_000;

/** Maximum sizes of an answer, which may be a chunk of weights. */
const MAX_ANSWER: Bytes = 64 * 1024 * 1024;
const MAX_REFUSAL: Bytes = 64 * 1024;

const ANSWER_LIMITS = {maxBytes: MAX_ANSWER, clock: monotonicClock};
const REFUSAL_LIMITS = {maxBytes: MAX_REFUSAL, clock: monotonicClock};

/** Codes of errors that occur before any byte of a request is sent. */
const CONNECT_ERROR_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Codes of errors in what a target sends. */
const MALFORMED_CODES = new Set([ANSWER_HEAD_FAULT_CODE, RECEIVING_FAULT_CODE]);

/** One HTTP call to a target. */
export interface TargetCall {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE';
  readonly path: string;
  readonly body?: string | Uint8Array | Readable;
  readonly headers?: Readonly<Record<string, string>>;
  readonly signal?: AbortSignal;
  /**
   * If undefined, only `signal` limits the call, or the default timeout without
   * a signal.
   */
  readonly timeout?: Milliseconds;
}

/** HTTP client of one target with a bounded number of connections. */
export interface TargetExchange {
  readonly open: (
    call: TargetCall,
  ) => Promise<Result<Dispatcher.ResponseData, TargetError>>;
  readonly bytes: (
    call: TargetCall,
  ) => Promise<Result<Uint8Array, TargetError>>;
  readonly json: <Value>(
    call: TargetCall,
    schema: z.ZodType<Value>,
  ) => Promise<Result<Value, TargetError>>;
  readonly close: () => Promise<void>;
}

/** Maps an error thrown by undici to a target error. */
export function targetErrorOf(error: unknown): TargetError {
  const detail = error instanceof Error ? error.message : String(error);
  const code = (error as {code?: unknown} | null)?.code;
  if (typeof code === 'string' && CONNECT_ERROR_CODES.has(code)) {
    return {kind: 'unreachable', detail};
  }
  if (typeof code === 'string' && MALFORMED_CODES.has(code)) {
    return {kind: 'malformed', detail};
  }
  return {kind: 'cut', detail};
}

/** Creates a bounded pool of connections to the target at `url`. */
export function createTargetExchange(
  url: string,
  connections: number,
): TargetExchange {
  const pool = createCheckedPool(url, {
    connections,
    connect: {timeout: CONNECT_TIMEOUT},
    bodyTimeout: 0,
    headersTimeout: 0,
  });

  const open: TargetExchange['open'] = async call => {
    const timeout = call.timeout ?? CALL_TIMEOUT;
    const signal =
      call.signal === undefined
        ? AbortSignal.timeout(timeout)
        : call.timeout === undefined
          ? call.signal
          : AbortSignal.any([call.signal, AbortSignal.timeout(timeout)]);
    try {
      const response = await pool.request({
        method: call.method,
        path: call.path,
        body: call.body,
        headers: call.headers,
        signal,
      });
      if (response.statusCode < 400) return Ok(response);
      return Err(await readRefusal(response));
    } catch (error) {
      return Err(targetErrorOf(error));
    }
  };

  const bytes: TargetExchange['bytes'] = async call => {
    const opened = await open(call);
    if (opened.err) return opened;
    try {
      return Ok(await readWholeBody(opened.val.body, ANSWER_LIMITS));
    } catch (error) {
      return Err(targetErrorOf(error));
    }
  };

  return {
    open,
    bytes,
    json: async (call, schema) => {
      const received = await bytes(call);
      if (received.err) return received;
      return parseJson(received.val, schema);
    },
    close: () => pool.destroy(),
  };
}

/** Parses `content` as JSON and validates it against `schema`. */
export function parseJson<Value>(
  content: Uint8Array | string,
  schema: z.ZodType<Value>,
): Result<Value, TargetError> {
  const text =
    typeof content === 'string' ? content : Buffer.from(content).toString();
  try {
    const parsed = schema.safeParse(JSON.parse(text));
    if (parsed.success) return Ok(parsed.data);
    return Err({kind: 'malformed', detail: parsed.error.message});
  } catch {
    return Err({kind: 'malformed', detail: 'not JSON'});
  }
}

async function readRefusal(
  response: Dispatcher.ResponseData,
): Promise<TargetError> {
  const text = await readWholeBody(response.body, REFUSAL_LIMITS).then(
    body => body.toString('utf8'),
    () => '',
  );
  let error = '';
  try {
    const body = JSON.parse(text) as {error?: unknown};
    if (typeof body.error === 'string') error = body.error;
  } catch {
    // Without a JSON body, the status alone describes the refusal.
  }
  return {
    kind: 'refused',
    status: response.statusCode,
    error,
    detail: text.slice(0, 500),
  };
}
