import {unreachable, type Milliseconds} from '@hibiscusbeam/core';
import {Err, Ok, type Result} from 'ts-results';
import {Agent, request, type Dispatcher} from 'undici';

/** An answer, read whole. */
export interface HttpReply {
  readonly status: number;
  readonly body: Buffer;
}

/** Why there is none. */
export interface NoReply {
  readonly detail: string;
}

/** One call over HTTP. */
export interface HttpCall {
  /** `IP:port`. */
  readonly address: string;
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  /** With its query. */
  readonly path: string;
  readonly body?: Buffer | string;
  readonly contentType?: string;
  readonly timeout: Milliseconds;
  readonly signal?: AbortSignal;
  /** Default `single`. */
  readonly connection?: HttpConnection;
}

/** How a call's connection is opened and left. */
export type HttpConnection =
  /** For this call alone. */
  | 'single'
  /** The same, to a machine whose link may be full for seconds. */
  | 'singleOverFullLink'
  /** It may be used again; a time-out ends it. */
  | 'kept';

/** Longest time to open a connection. */
const CONNECT_TIMEOUT: Milliseconds = 500;

/**
 * Connections that serve one call each: an open connection may fall silent for
 * good, which a kept one shows only by a time-out in a later call.
 */
const singleUse = new Agent({connect: {timeout: CONNECT_TIMEOUT}});

/**
 * Longest time to open a connection over a full link. After an outage of the
 * origin 41 agents ask it for a chunk each, which takes its link 1.8 s; given up
 * sooner, a third of them asked again and again, and counted it as lost.
 */
const FULL_LINK_CONNECT_TIMEOUT: Milliseconds = 2_000;

const overFullLink = new Agent({
  connect: {timeout: FULL_LINK_CONNECT_TIMEOUT},
});

/** Idle time of kept connections; below that of the engines. */
const KEPT_FOR: Milliseconds = 1_000;

/**
 * Connections for the many small calls to the engine on the own machine. A new
 * one for each look was 5,000 of the site's 11,400 new connections in 46 s.
 */
const kept = new Agent({
  connect: {timeout: CONNECT_TIMEOUT},
  connections: 2,
  keepAliveTimeout: KEPT_FOR,
  keepAliveMaxTimeout: KEPT_FOR,
});

/** Makes a call and reads the whole answer within the timeout. */
export async function callHttp(
  call: HttpCall,
): Promise<Result<HttpReply, NoReply>> {
  const controller = new AbortController();
  const timer = setTimeout(
    () => controller.abort(new Error(`no answer in ${call.timeout} ms`)),
    call.timeout,
  );
  const abort = (): void => controller.abort();
  call.signal?.addEventListener('abort', abort, {once: true});
  try {
    const reply = await send(call, controller.signal);
    const body = Buffer.from(await reply.body.arrayBuffer());
    return Ok({status: reply.statusCode, body});
  } catch (error) {
    return Err({detail: error instanceof Error ? error.message : 'no answer'});
  } finally {
    clearTimeout(timer);
    call.signal?.removeEventListener('abort', abort);
  }
}

function send(
  call: HttpCall,
  signal: AbortSignal,
): Promise<Dispatcher.ResponseData> {
  const contentType = call.contentType ?? 'application/json';
  return request(`http://${call.address}${call.path}`, {
    dispatcher: dispatcherOf(call.connection ?? 'single'),
    method: call.method,
    body: call.body,
    headers: call.body === undefined ? {} : {'content-type': contentType},
    reset: call.connection !== 'kept',
    signal,
  });
}

function dispatcherOf(connection: HttpConnection): Dispatcher {
  switch (connection) {
    case 'single':
      return singleUse;
    case 'singleOverFullLink':
      return overFullLink;
    case 'kept':
      return kept;
    default:
      return unreachable(connection);
  }
}

/** Parses a body as JSON; undefined if it is none. */
export function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8')) as unknown;
  } catch {
    return undefined;
  }
}
