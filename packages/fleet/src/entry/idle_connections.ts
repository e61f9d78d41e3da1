import type {Milliseconds, MonotonicInstant} from '@hibiscusbeam/core';
import type {Clock} from '@hibiscusbeam/daemon';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** Time beyond the idle time for a request that is on its way. */
const MARGIN: Milliseconds = 1_000;

/** Callers' connections on which no request is in progress. */
export interface IdleConnections {
  /** Notes a request, and when it will have been answered. */
  readonly noteRequest: (
    request: IncomingMessage,
    response: ServerResponse,
  ) => void;
  /** Closes a connection whose timer ran out, unless it is to be kept. */
  readonly noteTimeout: (socket: Socket) => void;
}

interface IdleSince {
  readonly at: MonotonicInstant;
  /** The idle time that the caller was told with its last answer. */
  readonly toldTimeout: Milliseconds;
}

/**
 * Creates the keeper of idle connections; `idleTimeout` gives the time in force.
 *
 * Failure: a configuration brings another idle time. A connection has the timer
 * of the older one, its caller goes by the newer one, or the other way round, and
 * a request meets the close. Guard: a connection is kept for the longer one of
 * the time that its caller was told and the time that is in force.
 */
export function createIdleConnections(
  idleTimeout: () => Milliseconds,
  clock: Clock,
): IdleConnections {
  const idle = new WeakMap<Socket, IdleSince>();

  function keptUntil({at, toldTimeout}: IdleSince): MonotonicInstant {
    return at + Math.max(toldTimeout, idleTimeout()) + MARGIN;
  }

  /**
   * Failure: the loop stands still past the idle time. Timers run before sockets
   * are read, and a request that lies in the socket is closed upon. Guard: the
   * connection is closed after the next reading of sockets if nothing came.
   */
  function closeAfterReading(socket: Socket, since: IdleSince): void {
    const {bytesRead} = socket;
    setImmediate(() => {
      if (idle.get(socket) !== since) return;
      if (socket.bytesRead === bytesRead) socket.destroy();
      else socket.setTimeout(Math.max(idleTimeout(), MARGIN));
    });
  }

  return {
    noteRequest: ({socket}, response) => {
      const timeoutAtRequest = idleTimeout();
      idle.delete(socket);
      response.once('finish', () => {
        // Node names the idle time in force when the answer begins.
        const toldTimeout = Math.max(timeoutAtRequest, idleTimeout());
        idle.set(socket, {at: clock(), toldTimeout});
      });
    },
    noteTimeout: socket => {
      const since = idle.get(socket);
      if (since === undefined) return;
      const left = keptUntil(since) - clock();
      if (left > 0) socket.setTimeout(left);
      else closeAfterReading(socket, since);
    },
  };
}
