import {
  readLinesOf,
  readWholeBody,
  type Bytes,
  type Milliseconds,
} from '@hibiscusbeam/core';
import {createCheckedAgent} from '@hibiscusbeam/platform';
import {request, type Dispatcher} from 'undici';
import {monotonicClock} from '../runtime/clock';

/** An HTTP request to an entry. */
export interface EntryRequest {
  /** `IP:port`. */
  readonly entry: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly timeout: Milliseconds;
}

/** Why a request has no response, and whether the entry may have seen it. */
export type ExchangeFailure =
  /** No connection was made, so the entry can't have seen the request. */
  | {readonly kind: 'notSent'; readonly detail: string}
  /** The connection failed later; the entry may have seen the request. */
  | {readonly kind: 'cut'; readonly detail: string};

/** A response whose body has not been read yet. */
export interface EntryResponse {
  readonly kind: 'response';
  readonly status: number;
  readonly headers: Dispatcher.ResponseData['headers'];
  /** Throws if the connection is lost or a line is too long. */
  readonly lines: () => AsyncGenerator<string>;
  readonly json: () => Promise<unknown>;
}

/** HTTP client for entries, with persistent connections. */
export interface EntryExchange {
  readonly send: (
    entryRequest: EntryRequest,
  ) => Promise<EntryResponse | ExchangeFailure>;
  readonly close: () => Promise<void>;
}

const CONNECT_TIMEOUT: Milliseconds = 2_000;

/** Limit for a body or a line of a stream; entries send less. */
const MAX_BODY_BYTES: Bytes = 16 * 1024 * 1024;

/** Codes of errors that occur before any byte of a request is sent. */
const UNSENT_ERROR_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Creates an HTTP client that authenticates with `workspaceKey`. */
export function createEntryExchange(workspaceKey: string): EntryExchange {
  const agent = createCheckedAgent({connect: {timeout: CONNECT_TIMEOUT}});
  return {
    send: async ({entry, method, path, headers, body, timeout}) => {
      try {
        const response = await request(`http://${entry}${path}`, {
          dispatcher: agent,
          method,
          headers: {
            authorization: `Bearer ${workspaceKey}`,
            ...(body === undefined ? {} : {'content-type': 'application/json'}),
            ...headers,
          },
          ...(body === undefined ? {} : {body}),
          signal: AbortSignal.timeout(Math.max(1, Math.ceil(timeout))),
        });
        return responseOf(response);
      } catch (error) {
        return failureOf(error);
      }
    },
    close: () => agent.destroy(),
  };
}

/** Maps an error thrown by undici to an {@link ExchangeFailure}. */
export function failureOf(error: unknown): ExchangeFailure {
  const detail = error instanceof Error ? error.message : String(error);
  const code = (error as {code?: unknown} | null)?.code;
  const notSent = typeof code === 'string' && UNSENT_ERROR_CODES.has(code);
  return {kind: notSent ? 'notSent' : 'cut', detail};
}

function responseOf(response: Dispatcher.ResponseData): EntryResponse {
  return {
    kind: 'response',
    status: response.statusCode,
    headers: response.headers,
    lines: () =>
      readLinesOf(response.body, {
        maxLine: MAX_BODY_BYTES,
        keepsUnterminated: true,
        clock: monotonicClock,
      }),
    json: async () => JSON.parse(await readText(response.body)) as unknown,
  };
}

async function readText(body: AsyncIterable<Uint8Array>): Promise<string> {
  const limits = {maxBytes: MAX_BODY_BYTES, clock: monotonicClock};
  return (await readWholeBody(body, limits)).toString('utf8');
}
