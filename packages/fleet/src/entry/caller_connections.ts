import {
  selectConnectionToClose,
  selectRequestsToRefuse,
  unreachable,
  type Bytes,
  type Milliseconds,
  type MonotonicInstant,
} from '@hibiscusbeam/core';
import {every, type Clock} from '@hibiscusbeam/daemon';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {destroyWithParser} from '../runtime/request_parser';
import type {UnreadRequests} from './unread_requests';

/** Interval between checks of connections that wait for a request. */
const CHECK_PERIOD_MS = 1_000;

/** Memory of a byte of an unfinished header, which may consist of tiny lines. */
const HEADER_BYTE_COST: Bytes = 8;

const TIMEOUT_ANSWER =
  'HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n';

/** Why a caller's connection was closed. */
export type ConnectionCloseReason =
  /** Too many connections are open. */
  | 'tooMany'
  /** The header of a request has not arrived in time. */
  | 'lateHeader'
  /** No request was sent on it. */
  | 'unused'
  /** The headers that are arriving take too much memory. */
  | 'largeHeader'
  /** Too many requests were sent before the first was answered. */
  | 'pipelined';

/** Limits on callers' connections. */
export interface ConnectionLimits {
  readonly maxConnections: number;
  /** Maximum number of requests on a connection that are not yet answered. */
  readonly maxPipelined: number;
  /** Maximum memory of all headers that are arriving. */
  readonly maxHeaderMemory: Bytes;
  /** Time from the first byte of a header to its end. */
  readonly headerTimeout: () => Milliseconds;
  /** Time for which a connection may wait for its first byte. */
  readonly idleTimeout: () => Milliseconds;
  /** Requests that were refused before they had arrived. */
  readonly unread: Pick<UnreadRequests, 'longestWait' | 'closeLongest'>;
  /** Closes a connection on which a request is arriving; false if none is. */
  readonly closeArriving: () => boolean;
  readonly onClosed: (reason: ConnectionCloseReason) => void;
  readonly clock: Clock;
}

/** Open connections of callers. */
export interface CallerConnections {
  /** Records a request; false if its connection was closed instead. */
  readonly recordRequest: (
    request: IncomingMessage,
    response: ServerResponse,
  ) => boolean;
  readonly count: () => number;
}

/** A connection on which no request is in progress. */
interface Waiting {
  readonly since: MonotonicInstant;
  /** Bytes that had been read by then. */
  readonly readBefore: Bytes;
  headerSince: MonotonicInstant | undefined;
}

/**
 * Closes the responses that waited for an earlier one on their connection.
 * Node.js reports the end of the connection to the earliest one only.
 */
function closeAll(responses: ReadonlySet<ServerResponse>): void {
  for (const response of [...responses]) {
    response.destroy();
    response.emit('close');
  }
}

/**
 * Creates the limits for the connections of `server`. Callers that open
 * connections and send nothing, or a byte now and then, would otherwise use up
 * the descriptors of the process.
 */
export function limitConnections(
  server: Server,
  limits: ConnectionLimits,
): CallerConnections {
  const {clock} = limits;
  /** Responses that have not closed, by connection. */
  const open = new Map<Socket, Set<ServerResponse>>();
  /** Both in the order in which their waits began. */
  const unused = new Map<Socket, Waiting>();
  const idle = new Map<Socket, Waiting>();
  let stopChecks: (() => void) | undefined;

  function wait(waiting: Map<Socket, Waiting>, socket: Socket): void {
    const {bytesRead: readBefore} = socket;
    waiting.set(socket, {since: clock(), readBefore, headerSince: undefined});
    // Sockets are read before a timer's decision.
    stopChecks ??= every(CHECK_PERIOD_MS, () => setImmediate(check));
  }

  function stopWaiting(socket: Socket): void {
    unused.delete(socket);
    idle.delete(socket);
    if (unused.size > 0 || idle.size > 0) return;
    stopChecks?.();
    stopChecks = undefined;
  }

  function close(socket: Socket, reason: ConnectionCloseReason): void {
    stopWaiting(socket);
    limits.onClosed(reason);
    if (reason !== 'lateHeader') {
      destroyWithParser(socket);
      return;
    }
    socket.end(TIMEOUT_ANSWER);
    socket.destroySoon();
  }

  function check(): void {
    const now = clock();
    for (const [socket, waiting] of [...unused, ...idle]) {
      if (socket.bytesRead > waiting.readBefore) waiting.headerSince ??= now;
      const {headerSince, since} = waiting;
      if (headerSince !== undefined) {
        const isLate = now - headerSince > limits.headerTimeout();
        if (isLate) close(socket, 'lateHeader');
      } else if (unused.has(socket) && now - since > limits.idleTimeout()) {
        close(socket, 'unused');
      }
    }
    keepHeaderBound(now);
  }

  function keepHeaderBound(now: MonotonicInstant): void {
    const arriving = [...unused, ...idle].map(([socket, waiting]) => ({
      socket,
      held: (socket.bytesRead - waiting.readBefore) * HEADER_BYTE_COST,
      isArriving: true,
      stalledFor: now - waiting.since,
    }));
    const {maxHeaderMemory} = limits;
    for (const {socket} of selectRequestsToRefuse(arriving, maxHeaderMemory)) {
      close(socket, 'largeHeader');
    }
  }

  function longestWait(
    waiting: ReadonlyMap<Socket, Waiting>,
  ): Milliseconds | undefined {
    for (const {since} of waiting.values()) return clock() - since;
    return undefined;
  }

  /** Makes room for the connection that was just opened. */
  function makeRoom(newcomer: Socket): void {
    const kind = selectConnectionToClose({
      unused: longestWait(unused),
      refused: limits.unread.longestWait(),
      idle: longestWait(idle),
    });
    switch (kind) {
      case 'unused':
        return closeFirst(unused);
      case 'refused':
        return limits.unread.closeLongest();
      case 'idle':
        return closeFirst(idle);
      case 'none':
        if (!limits.closeArriving()) close(newcomer, 'tooMany');
        return;
      default:
        return unreachable(kind);
    }
  }

  function closeFirst(waiting: ReadonlyMap<Socket, Waiting>): void {
    for (const socket of waiting.keys()) return close(socket, 'tooMany');
  }

  server.on('connection', socket => {
    const responses = new Set<ServerResponse>();
    open.set(socket, responses);
    socket.once('close', () => {
      open.delete(socket);
      stopWaiting(socket);
      setImmediate(closeAll, responses);
    });
    if (open.size > limits.maxConnections) makeRoom(socket);
    if (!socket.destroyed) wait(unused, socket);
  });

  return {
    recordRequest: ({socket}, response) => {
      if (socket.destroyed) return false;
      stopWaiting(socket);
      const responses = open.get(socket);
      if (responses === undefined) return false;
      if (responses.size >= limits.maxPipelined) {
        close(socket, 'pipelined');
        return false;
      }
      responses.add(response);
      response.once('close', () => {
        responses.delete(response);
        if (responses.size === 0 && !socket.destroyed) wait(idle, socket);
      });
      return true;
    },
    count: () => open.size,
  };
}
