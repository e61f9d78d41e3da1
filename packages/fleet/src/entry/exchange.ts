import {
  request as openRequest,
  type ClientRequest,
  type IncomingMessage,
} from 'node:http';
import type {Milliseconds, UnknownCause} from '@hibiscusbeam/core';
import {Err, Ok, type Result} from 'ts-results';
import {startAnswerTimer} from '../link/answer_timer';
import type {RequestBuffers} from './buffered_bytes';
import type {AnswerHeader, HeaderLines, RequestProtocol} from '../ports';

/** A request as it goes to a target. */
export interface OutgoingRequest {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly lines: readonly string[];
  readonly body: Buffer;
  /** Whether the target may still be sent the request; asked once connected. */
  readonly mayBegin: () => boolean;
  /** What is buffered of it. */
  readonly buffers: Pick<RequestBuffers, 'watchTarget'>;
}

/** The beginning of a target's answer; its body is still to be read. */
export interface IncomingAnswer {
  readonly status: number;
  readonly lines: HeaderLines;
  readonly header: AnswerHeader;
  readonly body: IncomingMessage;
  /** Whether the body that has ended is all of it. */
  readonly isWhole: () => boolean;
  /** Whether the body says itself where it ends; else its connection does. */
  readonly isFramed: boolean;
}

/** Why there is no answer. */
export type ExchangeFailure =
  /** No connection came about, so no byte of the request was sent. */
  | {readonly kind: 'notConnected'; readonly detail: string}
  /** The same, since nothing listens at the address. */
  | {readonly kind: 'connectionRefused'; readonly detail: string}
  /** It may not begin there any more; no byte of it was sent. */
  | {readonly kind: 'outdated'; readonly detail: string}
  | {
      readonly kind: 'unknown';
      readonly cause: UnknownCause;
      readonly detail: string;
    };

/** A request on its way. */
export interface Exchange {
  readonly answer: Promise<Result<IncomingAnswer, ExchangeFailure>>;
  /** Ends it at once, also while the answer's body is read. */
  readonly abort: () => void;
}

/**
 * Longest time to open a connection. Three round trips between regions are
 * below 15 ms; a lost opening packet is sent again after a second, and by then
 * another target has long answered.
 */
const CONNECT_TIMEOUT: Milliseconds = 200;

/**
 * Sends a request over a connection of its own.
 *
 * Failure: on a kept connection an answer to an earlier request may arrive late
 * and be taken for this one's, a target may close just as this one is sent, and
 * a connection that fell silent shows only by a time-out. A connection that
 * serves one request has none of these; it costs one round trip.
 *
 * Node's own client is used since it tells a body that ends with its connection
 * from one that is cut by a reset, though only by the request's error: it calls
 * the body complete in both cases.
 */
export function openExchange(
  outgoing: OutgoingRequest,
  protocol: RequestProtocol,
): Exchange {
  const [host, port] = outgoing.address.split(':');
  const request = openRequest({
    host,
    port: Number(port),
    method: outgoing.method,
    path: outgoing.path,
    headers: outgoing.lines as string[],
    agent: false,
    setHost: false,
  });
  outgoing.buffers.watchTarget(request);
  const answer = awaitAnswer(request, protocol, outgoing);
  return {answer, abort: () => void request.destroy()};
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
    const fail = (detail: string, error?: NodeJS.ErrnoException): void => {
      timer.stop();
      if (sent) {
        resolve(Err({kind: 'unknown', cause: causeOf(error), detail}));
        return;
      }
      resolve(Err({kind: outdated ? 'outdated' : unsentKind(error), detail}));
    };
    /**
     * Failure: a process stands still for a second between the choice of a
     * target and the send, for want of processor time. Meanwhile the target's
     * version has passed its bound, the target leaves, or the caller has gone;
     * the request begins all the same. Guard: what was decided is asked again
     * right before the first byte, after all news that came with the connection
     * have been taken in.
     */
    const send = (): void => {
      if (request.destroyed) return;
      outdated = !outgoing.mayBegin();
      if (outdated) {
        request.destroy(new Error('may not begin there any more'));
        return;
      }
      sent = true;
      request.end(outgoing.body);
    };
    const timer = startAnswerTimer(CONNECT_TIMEOUT, () => {
      request.destroy(new Error('no connection in time'));
    });
    request.once('socket', socket =>
      socket.once('connect', () => {
        timer.stop();
        setImmediate(send);
      }),
    );
    request.once('response', body => {
      const status = body.statusCode ?? 0;
      const lines = body.rawHeaders;
      const header = protocol.readAnswer(status, lines);
      // Failure: an answer without a length is cut by a reset, and half of it is
      // passed on as whole. The reset shows as an error before the body's end.
      const isWhole = (): boolean => body.complete && !hasFailed;
      const isFramed =
        body.headers['content-length'] !== undefined ||
        body.headers['transfer-encoding'] !== undefined;
      resolve(Ok({status, lines, header, body, isWhole, isFramed}));
    });
    request.on('error', error => {
      hasFailed = true;
      fail(error.message, error);
    });
    request.once('close', () => fail('closed'));
  });
}

function causeOf(error: NodeJS.ErrnoException | undefined): UnknownCause {
  return error?.code?.startsWith('HPE_') === true
    ? 'malformedAnswer'
    : 'connectionLost';
}

function unsentKind(
  error: NodeJS.ErrnoException | undefined,
): 'connectionRefused' | 'notConnected' {
  return error?.code === 'ECONNREFUSED' ? 'connectionRefused' : 'notConnected';
}
