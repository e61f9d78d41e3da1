import type {Milliseconds, MonotonicInstant} from '@hibiscusbeam/core';
import type {Clock} from '@hibiscusbeam/daemon';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** Time beyond the idle time for a request that is on its way. */
const IN_TRANSIT_MARGIN: Milliseconds = 1_000;

/** Callers' connections on which no request is in progress. */
export interface IdleConnections {
  /** Notes a request, and when it will have been answered. */
  readonly recordRequest: (
    request: IncomingMessage,
    response: ServerResponse,
  ) => void;
  /** Closes a connection whose timer ran out, unless it is to be kept. */
  readonly handleTimeout: (socket: Socket) => void;
}

interface IdleSince {
  readonly at: MonotonicInstant;
  /** The idle time that the caller's last answer named. */
  readonly announcedTimeout: Milliseconds;
}

/**
 * Creates the closing of idle connections; `idleTimeout` gives the time in force.
 * Callers may go by it or by the one announced to them, so the longer one counts.
 */
export function createIdleConnections(
  idleTimeout: () => Milliseconds,
  clock: Clock,
): IdleConnections {
  const idle = new WeakMap<Socket, IdleSince>();

  function expiresAt({at, announcedTimeout}: IdleSince): MonotonicInstant {
    return at + Math.max(announcedTimeout, idleTimeout()) + IN_TRANSIT_MARGIN;
  }

  /** Timers run before sockets are read: a request may lie in the socket. */
  function closeAfterReading(socket: Socket, since: IdleSince): void {
    const {bytesRead} = socket;
    setImmediate(() => {
      if (idle.get(socket) !== since) return;
      if (socket.bytesRead === bytesRead) socket.destroy();
      else socket.setTimeout(Math.max(idleTimeout(), IN_TRANSIT_MARGIN));
    });
  }

  return {
    recordRequest: ({socket}, response) => {
      const timeoutAtRequest = idleTimeout();
      idle.delete(socket);
      response.once('finish', () => {
        // Node names the idle time in force when the answer begins.
        const announcedTimeout = Math.max(timeoutAtRequest, idleTimeout());
        idle.set(socket, {at: clock(), announcedTimeout});
      });
    },
    handleTimeout: socket => {
      const since = idle.get(socket);
      if (since === undefined) return;
      const left = expiresAt(since) - clock();
      if (left > 0) socket.setTimeout(left);
      else closeAfterReading(socket, since);
    },
  };
}
