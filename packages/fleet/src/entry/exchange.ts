import {
  request as openRequest,
  type ClientRequest,
  type IncomingMessage,
} from 'node:http';
import type {Socket} from 'node:net';
import {
  describeAnswerHeadFault,
  readAnswerHead,
  type Milliseconds,
  type UnknownCause,
} from '@hibiscusbeam/core';
import {guardCallback} from '@hibiscusbeam/daemon';
import {Err, Ok, type Result} from 'ts-results';
import {startAnswerTimer} from '../link/answer_timer';
import type {RequestBuffers} from './buffered_bytes';
import type {AnswerHeader, HeaderLines, RequestProtocol} from '../ports';
import type {RequestBody} from './request_body';

/** A request as it is sent to a target. */
export interface OutgoingRequest {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly lines: readonly string[];
  readonly body: Pick<RequestBody, 'blocks'>;
  /**
   * Whether the target may still be sent the request; checked once connected.
   */
  readonly mayBegin: () => boolean;
  /** Tracks what is buffered of it. */
  readonly buffers: Pick<RequestBuffers, 'trackTarget'>;
  /** Called with an error that handling what the target sent has thrown. */
  readonly onError: (error: unknown) => void;
}

/** The start of a target's answer; its body is still to be read. */
export interface IncomingAnswer {
  readonly status: number;
  readonly lines: HeaderLines;
  readonly header: AnswerHeader;
  readonly body: IncomingMessage;
  /** Whether the body that has ended is complete. */
  readonly isWhole: () => boolean;
  /**
   * Whether the body is framed by a length or by chunks; otherwise the end of
   * the connection ends it.
   */
  readonly isFramed: boolean;
}

/** Why there is no answer. */
export type ExchangeFailure =
  /** No connection was established, so no byte of the request was sent. */
  | {readonly kind: 'notConnected'; readonly detail: string}
  /** No connection, since nothing listens at the address. */
  | {readonly kind: 'connectionRefused'; readonly detail: string}
  /** The target may no longer be sent the request; no byte of it was sent. */
  | {readonly kind: 'outdated'; readonly detail: string}
  | {
      readonly kind: 'unknown';
      readonly cause: UnknownCause;
      readonly detail: string;
    };

/** A request in flight. */
export interface Exchange {
  readonly answer: Promise<Result<IncomingAnswer, ExchangeFailure>>;
  /** Ends it at once, even while the answer's body is read. */
  readonly abort: () => void;
}

/**
 * Timeout to open a connection. Three round trips between regions take less
 * than 15 ms; a lost opening packet is only sent again after a second, and by
 * then another target has long answered.
 */
const CONNECT_TIMEOUT: Milliseconds = 200;

/** Prefix of the codes of errors in the framing of an answer. */
const PARSER_CODE_PREFIX = 'HPE_';

const MALFORMED_CODE = `${PARSER_CODE_PREFIX}MALFORMED`;

/** Code of the error for a port out of range. */
const BAD_PORT_CODE = 'ERR_SOCKET_BAD_PORT';

/** Maximum number of informational responses before an answer. */
const MAX_INFORMATIONAL_RESPONSES = 16;

/**
 * Sends a request over a connection of its own.
 *
 * On a reused connection, a late answer to an earlier request may be taken for
 * this one's, a target may close just as this request is sent, and a silent
 * connection is only detected by a timeout. A connection for a single request
 * has none of these problems; it costs one round trip.
 *
 * The client of Node.js is used since it distinguishes a body that ends with
 * its connection from one that is cut by a reset, though only by the request's
 * error: it calls the body complete in both cases.
 */
export function openExchange(
  outgoing: OutgoingRequest,
  protocol: RequestProtocol,
): Exchange {
  let request: ClientRequest;
  try {
    request = createRequest(outgoing);
  } catch (error) {
    if (!isAddressError(error)) throw error;
    const {message: detail} = error;
    const answer = Promise.resolve(
      Err({kind: 'notConnected', detail} as const),
    );
    return {answer, abort: () => undefined};
  }
  outgoing.buffers.trackTarget(request);
  const answer = awaitAnswer(request, protocol, outgoing);
  return {answer, abort: () => void request.destroy()};
}

/**
 * Creates the request and begins to connect; throws if the address, or a header
 * line, can't be used.
 */
function createRequest(outgoing: OutgoingRequest): ClientRequest {
  const [host, port] = outgoing.address.split(':');
  return openRequest({
    host,
    port: Number(port),
    method: outgoing.method,
    path: outgoing.path,
    headers: outgoing.lines as string[],
    agent: false,
    setHost: false,
  });
}

function awaitAnswer(
  request: ClientRequest,
  protocol: RequestProtocol,
  outgoing: OutgoingRequest,
): Exchange['answer'] {
  return new Promise(resolve => {
    let sent = false;
    let outdated = false;
    let hasFailed = false;
    let wasReset = false;
    let informationalResponses = 0;
    const fail = (detail: string, error?: NodeJS.ErrnoException): void => {
      timer.stop();
      if (sent) {
        resolve(Err({kind: 'unknown', cause: causeOf(error), detail}));
        return;
      }
      resolve(Err({kind: outdated ? 'outdated' : unsentKind(error), detail}));
    };
    const refuse = (detail: string): void => {
      fail(detail, malformed(detail));
      request.destroy();
    };
    const onError = (error: unknown): void => {
      outgoing.onError(error);
      refuse(String(error));
    };
    /**
     * Checks again right before the first byte, after all updates that arrived
     * with the connection were processed. A process that gets no CPU for a
     * second between choosing a target and sending would otherwise start a
     * request although the target's version has passed its bound, the target is
     * leaving or the caller has disconnected.
     */
    const send = (): void => {
      if (request.destroyed) return;
      const blocks = outgoing.body.blocks();
      if (blocks === undefined || !outgoing.mayBegin()) {
        outdated = true;
        request.destroy(new Error('may not begin there any more'));
        return;
      }
      sent = true;
      sendBody(request, blocks);
    };
    const timer = startAnswerTimer(CONNECT_TIMEOUT, () => {
      request.destroy(new Error('no connection in time'));
    });
    request.once('socket', socket => {
      socket.once('connect', () => {
        timer.stop();
        setImmediate(guardCallback(onError, send));
      });
      // Before the client of Node.js ends the body.
      socket.prependOnceListener('end', () => (wasReset = isReset(socket)));
    });
    request.on('information', () => {
      informationalResponses += 1;
      if (informationalResponses > MAX_INFORMATIONAL_RESPONSES) {
        refuse('too many informational responses');
      }
    });
    const receive = (body: IncomingMessage): void => {
      const {statusCode: status = 0, rawHeaders: lines} = body;
      const bodyEnd = readAnswerHead({status, lines});
      if (bodyEnd.err) {
        refuse(`${describeAnswerHeadFault(bodyEnd.val)} (status ${status})`);
        return;
      }
      const header = protocol.readAnswer(status, lines);
      const isFramed = bodyEnd.val !== 'connection';
      // An answer without a length may be cut by a reset, and half of it would
      // be forwarded as complete. The reset shows as an error before the end of
      // the body, or only in the state of the connection.
      const isWhole = (): boolean =>
        body.complete && !hasFailed && (isFramed || !wasReset);
      resolve(Ok({status, lines, header, body, isWhole, isFramed}));
    };
    request.once('response', guardCallback(onError, receive));
    request.on('error', error => {
      hasFailed = true;
      fail(error.message, error);
    });
    request.once('close', () => fail('closed'));
  });
}

/** Whether a request could not be created because of its target. */
function isAddressError(error: unknown): error is Error {
  const {code} = error as NodeJS.ErrnoException;
  return code === BAD_PORT_CODE;
}

/** Sends the header and the whole body. */
function sendBody(request: ClientRequest, blocks: readonly Buffer[]): void {
  const last = blocks.at(-1);
  for (const block of blocks.slice(0, -1)) request.write(block);
  if (last === undefined) request.end();
  else request.end(last);
}

/**
 * Whether the connection that has just ended was reset. Node.js reports a reset
 * that arrives before the last bytes are read as a regular end.
 */
function isReset(socket: Socket): boolean {
  return socket.remoteAddress === undefined;
}

function malformed(detail: string): NodeJS.ErrnoException {
  return Object.assign(new Error(detail), {code: MALFORMED_CODE});
}

function causeOf(error: NodeJS.ErrnoException | undefined): UnknownCause {
  return error?.code?.startsWith(PARSER_CODE_PREFIX) === true
    ? 'malformedAnswer'
    : 'connectionLost';
}

function unsentKind(
  error: NodeJS.ErrnoException | undefined,
): 'connectionRefused' | 'notConnected' {
  return error?.code === 'ECONNREFUSED' ? 'connectionRefused' : 'notConnected';
}
