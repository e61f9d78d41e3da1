import {unreachable, type Milliseconds} from '@hibiscusbeam/core';
import {Err, Ok, type Result} from 'ts-results';
import {Agent, request, type Dispatcher} from 'undici';
import {startAnswerTimer} from './answer_timer';
import {openSingleConnection, type SingleConnection} from './single_connection';

/** An answer, read whole. */
export interface HttpReply {
  readonly status: number;
  /** The first value of a header line, by its lower-case name. */
  readonly header: (name: string) => string | undefined;
  readonly body: Buffer;
}

/** How far a call came that brought no answer. */
export type CallProgress =
  /** No connection in time: nobody is there, or the link is full. */
  | 'notConnected'
  /** The connection was refused, or ended by the other side. */
  | 'broken'
  /** Connected, and nothing came for many times what connecting took. */
  | 'silent'
  /** An answer has begun, or may be on its way. */
  | 'underWay';

/** Why there is none. */
export interface NoReply {
  readonly detail: string;
  readonly progress: CallProgress;
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
  /** Time for the answer; with `longest`, for its next bytes. */
  readonly timeout: Milliseconds;
  /** Longest time in all for an answer whose bytes keep coming. */
  readonly longest?: Milliseconds;
  /** How long the server may hold its answer back, as a long poll does. */
  readonly heldFor?: Milliseconds;
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
 * Longest time to open a connection over a full link. After an outage of the
 * origin 41 agents ask it for a chunk each, which takes its link 1.8 s; given up
 * sooner, a third of them asked again and again, and counted it as lost.
 */
const FULL_LINK_CONNECT_TIMEOUT: Milliseconds = 2_000;

/** Idle time of kept connections; below that of the engines. */
const KEEP_ALIVE_TIMEOUT: Milliseconds = 1_000;

/**
 * Connections for the many small calls to the engine on the own machine. A new
 * one for each look was 5,000 of the site's 11,400 new connections in 46 s.
 */
const keepAliveAgent = new Agent({
  connect: {timeout: CONNECT_TIMEOUT},
  connections: 2,
  keepAliveTimeout: KEEP_ALIVE_TIMEOUT,
  keepAliveMaxTimeout: KEEP_ALIVE_TIMEOUT,
});

/** Makes a call and reads the whole answer within the timeout. */
export async function callHttp(
  call: HttpCall,
): Promise<Result<HttpReply, NoReply>> {
  const controller = new AbortController();
  const timer = startCallTimer(call, () =>
    controller.abort(new Error(`no answer in ${call.timeout} ms`)),
  );
  const abort = (): void => controller.abort();
  call.signal?.addEventListener('abort', abort, {once: true});
  const connection = openConnection(call);
  let hasBegun = false;
  try {
    const reply = await send(call, connection, controller.signal);
    hasBegun = true;
    const body = await readBody(reply.body, timer.noteBytes);
    const {statusCode: status, headers} = reply;
    return Ok({status, header: name => firstValue(headers[name]), body});
  } catch (error) {
    return Err({
      detail: error instanceof Error ? error.message : 'no answer',
      progress: progressOf(call, controller.signal, connection, hasBegun),
    });
  } finally {
    timer.stop();
    call.signal?.removeEventListener('abort', abort);
    connection?.close();
  }
}

/** Counts the time of a call, anew with each part of a long answer. */
function startCallTimer({timeout, longest}: HttpCall, onExpired: () => void) {
  const endsAt = longest && performance.now() + longest;
  let timer = startAnswerTimer(timeout, onExpired);

  function recordBytes(): void {
    if (endsAt === undefined) return;
    const left = endsAt - performance.now();
    if (left <= 0) return;
    timer.stop();
    timer = startAnswerTimer(Math.min(timeout, left), onExpired);
  }

  return {noteBytes: recordBytes, stop: () => timer.stop()};
}

async function readBody(
  body: AsyncIterable<Buffer>,
  recordBytes: () => void,
): Promise<Buffer> {
  const parts: Buffer[] = [];
  for await (const part of body) {
    recordBytes();
    parts.push(part);
  }
  return Buffer.concat(parts);
}

/**
 * A connection for this call alone: an open one may fall silent for good, which a
 * kept one shows only by a time-out in a later call.
 */
function openConnection(call: HttpCall): SingleConnection | undefined {
  const kind = call.connection ?? 'single';
  switch (kind) {
    case 'single':
      return openSingleConnection(call.address, CONNECT_TIMEOUT);
    case 'singleOverFullLink':
      return openSingleConnection(call.address, FULL_LINK_CONNECT_TIMEOUT);
    case 'kept':
      return undefined;
    default:
      return unreachable(kind);
  }
}

function send(
  call: HttpCall,
  connection: SingleConnection | undefined,
  signal: AbortSignal,
): Promise<Dispatcher.ResponseData> {
  const contentType = call.contentType ?? 'application/json';
  return request(`http://${call.address}${call.path}`, {
    dispatcher: connection?.dispatcher ?? keepAliveAgent,
    method: call.method,
    body: call.body,
    headers: call.body === undefined ? {} : {'content-type': contentType},
    reset: connection !== undefined,
    signal,
  });
}

function progressOf(
  {heldFor = 0}: HttpCall,
  timeout: AbortSignal,
  connection: SingleConnection | undefined,
  hasBegun: boolean,
): CallProgress {
  if (connection?.hasTimedOut() === true) return 'notConnected';
  if (!timeout.aborted) return 'broken';
  if (hasBegun || connection === undefined) return 'underWay';
  if (!connection.isOpen()) return 'notConnected';
  return connection.isSilent(heldFor) ? 'silent' : 'underWay';
}

function firstValue(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value;
}

/** Parses a body as JSON; undefined if it is none. */
export function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8')) as unknown;
  } catch {
    return undefined;
  }
}
