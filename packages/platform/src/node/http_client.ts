import {isIP} from 'node:net';
import {
  readWholeBody,
  type Bytes,
  type Milliseconds,
  type PlatformError,
} from '@hibiscusbeam/core';
import {Err, Ok} from 'ts-results';
import type {Result} from 'ts-results';
import {request} from 'undici';
import type {Dispatcher} from 'undici';
import type {ZodType} from 'zod';
import {createCheckedAgent} from './checked_connections';
import {parseJson} from './parse_json';
import {responseErrorOf, transportErrorOf} from './errors';

/** Max calls to the platform in flight; more wait for a connection. */
const MAX_CONNECTIONS = 16;

/** Maximum size of an answer, which may be an object of the store. */
const MAX_ANSWER: Bytes = 64 * 1024 * 1024;

const ANSWER_LIMITS = {
  maxBytes: MAX_ANSWER,
  clock: () => performance.now(),
};

/** One call to the platform. */
export interface HttpCall {
  readonly method: 'GET' | 'POST' | 'PUT';
  readonly path: string;
  /** Sent as JSON. */
  readonly body?: unknown;
  /** Sent unchanged. */
  readonly bytes?: Uint8Array;
  /** Whether the call may have taken effect if no answer comes. */
  readonly effect: 'read' | 'write';
}

/** HTTP client with a call timeout and its own connections. */
export interface HttpClient {
  /** Parses the answer as JSON and validates it against `schema`. */
  readonly json: <Body>(
    call: HttpCall,
    schema: ZodType<Body>,
  ) => Promise<Result<Body, PlatformError>>;
  readonly text: (call: HttpCall) => Promise<Result<string, PlatformError>>;
  readonly bytes: (
    call: HttpCall,
  ) => Promise<Result<Uint8Array, PlatformError>>;
}

/** Options of {@link createHttpClient}. */
export interface HttpClientOptions {
  readonly url: string;
  /** Timeout of a whole call, including its body. */
  readonly timeout: Milliseconds;
}

/** Returns the origin of `url`; throws unless its host is an IP number. */
export function baseAddress(url: string): string {
  const {origin, hostname} = new URL(url);
  if (isIP(hostname.replace(/^\[|\]$/g, '')) !== 0) return origin;
  throw new Error(`platform address ${url}: the host must be an IP number`);
}

/** Creates a separate pool of at most `connections` connections. */
export function createConnectionPool(connections: number): Dispatcher {
  return createCheckedAgent({connections, pipelining: 1});
}

function requestOptions(call: HttpCall) {
  if (call.bytes !== undefined) {
    return {
      body: call.bytes,
      headers: {'content-type': 'application/octet-stream'},
    };
  }
  if (call.body === undefined) return {};
  return {
    body: JSON.stringify(call.body),
    headers: {'content-type': 'application/json'},
  };
}

/** Creates a client that keeps connections open for later calls. */
export function createHttpClient(options: HttpClientOptions): HttpClient {
  const base = baseAddress(options.url);
  const dispatcher = createConnectionPool(MAX_CONNECTIONS);

  async function send(call: HttpCall): Promise<Dispatcher.ResponseData> {
    return request(`${base}${call.path}`, {
      dispatcher,
      method: call.method,
      signal: AbortSignal.timeout(options.timeout),
      ...requestOptions(call),
    });
  }

  async function exchange<Body>(
    call: HttpCall,
    readBody: (response: Dispatcher.ResponseData) => Promise<Body>,
  ): Promise<Result<Body, PlatformError>> {
    try {
      const response = await send(call);
      const refusal = responseErrorOf(response, call.effect);
      if (refusal === undefined) return Ok(await readBody(response));
      await response.body.dump();
      return Err(refusal);
    } catch (error) {
      return Err(transportErrorOf(error, call.effect));
    }
  }

  function bytes(call: HttpCall): Promise<Result<Buffer, PlatformError>> {
    return exchange(call, ({body}) => readWholeBody(body, ANSWER_LIMITS));
  }

  async function text(call: HttpCall): Promise<Result<string, PlatformError>> {
    return (await bytes(call)).map(content => content.toString('utf8'));
  }

  return {
    text,
    bytes: async call =>
      (await bytes(call)).map(content => new Uint8Array(content)),
    json: async (call, schema) => {
      const content = await text(call);
      if (content.err) return content;
      const parsed = parseJson(content.val, schema, call.path);
      // An unreadable answer to a write says nothing about its effect. Reported
      // as a refusal, a write that took effect could be made twice.
      if (parsed.err && call.effect === 'write') {
        return Err({kind: 'replyLost', detail: parsed.val.detail});
      }
      return parsed;
    },
  };
}
