import {
  readWholeBody,
  unreachable,
  type Bytes,
  type Milliseconds,
} from '@hibiscusbeam/core';
import {createCheckedAgent, monotonicClock} from '@hibiscusbeam/daemon';
import {Err, Ok, type Result} from 'ts-results';
import {request, type Dispatcher} from 'undici';
import {startAnswerTimer} from './answer_timer';
import {openSingleConnection, type SingleConnection} from './single_connection';

/** A complete answer. */
export interface HttpReply {
  readonly status: number;
  /** First value of a header, by its lower-case name. */
  readonly header: (name: string) => string | undefined;
  readonly body: Buffer;
}

/** How far a call without an answer got. */
export type CallProgress =
  /** No connection in time: nothing listens there, or the link is saturated. */
  | 'notConnected'
  /** The connection was refused, or closed by the other side. */
  | 'broken'
  /** Connected, but nothing arrived within a multiple of the connect time. */
  | 'silent'
  /** An answer has begun, or may be in transit. */
  | 'underWay';

/** Why a call got no answer. */
export interface NoReply {
  readonly detail: string;
  readonly progress: CallProgress;
}

/** One call over HTTP. */
export interface HttpCall {
  /** `IP:port`. */
  readonly address: string;
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  /** Path, with the query. */
  readonly path: string;
  readonly body?: Buffer | string;
  readonly contentType?: string;
  /** Timeout of the answer; with `longest`, of its next bytes. */
  readonly timeout: Milliseconds;
  /** Maximum total time of an answer whose bytes keep arriving. */
  readonly longest?: Milliseconds;
  /** How long the server may delay its answer, as for a long poll. */
  readonly heldFor?: Milliseconds;
  readonly signal?: AbortSignal;
  /** Called with the size of each part of the answer's body. */
  readonly onBytes?: (received: Bytes) => void;
  /** Default `single`. */
  readonly connection?: HttpConnection;
}

/** How a call's connection is opened and closed. */
export type HttpConnection =
  /** Used for this call only. */
  | 'single'
  /** The same, to a machine whose link may be saturated for seconds. */
  | 'singleOverFullLink'
  /** May be reused; a timeout closes it. */
  | 'kept';

/** Timeout for opening a connection. */
const CONNECT_TIMEOUT: Milliseconds = 500;

/**
 * Timeout for opening a connection over a saturated link. After an outage of
 * the origin, 41 agents request a chunk each, which occupies its link for 1.8
 * s. With a shorter timeout, a third of them retried again and again, and
 * considered the origin lost.
 */
const FULL_LINK_CONNECT_TIMEOUT: Milliseconds = 2_000;

/** Idle timeout of kept connections; below that of the engines. */
const KEEP_ALIVE_TIMEOUT: Milliseconds = 1_000;

/**
 * Connections for the many small calls to the engine on the same machine.
 * Opening a connection for each poll caused 5,000 of the site's 11,400 new
 * connections in 46 s.
 */
const keepAliveAgent = createCheckedAgent({
  connect: {timeout: CONNECT_TIMEOUT},
  connections: 2,
  keepAliveTimeout: KEEP_ALIVE_TIMEOUT,
  keepAliveMaxTimeout: KEEP_ALIVE_TIMEOUT,
});

/**
 * Maximum size of an answer, twice that of the host platform's largest objects.
 * A server in trouble may send bytes without end.
 */
const MAX_REPLY_BYTES: Bytes = 16 * 1024 * 1024;

/** Sends a request and reads the whole answer within the timeout. */
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
    const body = await readWholeBody(
      reply.body,
      {maxBytes: MAX_REPLY_BYTES, clock: monotonicClock},
      part => {
        timer.recordBytes();
        call.onBytes?.(part.length);
      },
    );
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

/**
 * Starts the timeout of a call, which restarts with each part of a long answer.
 */
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

  return {recordBytes, stop: () => timer.stop()};
}

/**
 * Opens a connection for this call only: an open connection may fall silent
 * permanently, which shows only by a timeout if a later call reuses it.
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

/** Parses a body as JSON; undefined if it is invalid. */
export function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8')) as unknown;
  } catch {
    return undefined;
  }
}
