import type {Milliseconds, MonotonicInstant} from '@hibiscusbeam/core';
import type {Clock} from '@hibiscusbeam/daemon';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** Time beyond the idle timeout for a request that is already on its way. */
const IN_TRANSIT_MARGIN: Milliseconds = 1_000;

/** Tracks callers' connections that have no request in progress. */
export interface IdleConnections {
  /**
   * Records a request; its connection counts as idle once the answer is
   * written.
   */
  readonly recordRequest: (
    request: IncomingMessage,
    response: ServerResponse,
  ) => void;
  /**
   * Handles a socket timeout: closes the connection unless it must stay open.
   */
  readonly handleTimeout: (socket: Socket) => void;
}

interface IdleSince {
  readonly at: MonotonicInstant;
  /** Idle timeout that was announced with the last answer. */
  readonly announcedTimeout: Milliseconds;
}

/**
 * Creates the tracker; `idleTimeout` returns the timeout in force. Callers may
 * rely on it or on the one announced to them, so the longer one counts.
 */
export function createIdleConnections(
  idleTimeout: () => Milliseconds,
  clock: Clock,
): IdleConnections {
  const idle = new WeakMap<Socket, IdleSince>();

  function expiresAt({at, announcedTimeout}: IdleSince): MonotonicInstant {
    return at + Math.max(announcedTimeout, idleTimeout()) + IN_TRANSIT_MARGIN;
  }

  /**
   * Timers run before sockets are read, so a request may still wait in the
   * socket.
   */
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
        // Node.js announces the idle timeout in force when the answer begins.
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
