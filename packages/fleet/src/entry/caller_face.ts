import type {Milliseconds} from '@hibiscusbeam/core';
import type {Clock} from '@hibiscusbeam/daemon';
import {createServer, type Server} from 'node:http';
import {createIdleConnections} from './idle_connections';
import type {RequestHandler} from './request_handler';

/** Idle time of callers' connections until a configuration names one. */
const FIRST_IDLE_TIMEOUT: Milliseconds = 15_000;

/** Connections that wait to be accepted; a burst opens hundreds at once. */
const BACKLOG = 1_024;

/** The face for callers. */
export interface CallerFace {
  readonly listen: (address: string) => Promise<void>;
  readonly setIdleTimeout: (timeout: Milliseconds) => void;
  readonly close: () => void;
}

/** Creates the face that passes requests to `handler`. */
export function createCallerFace(
  handler: RequestHandler,
  clock: Clock,
): CallerFace {
  const server: Server = createServer({keepAliveTimeout: FIRST_IDLE_TIMEOUT});
  const idle = createIdleConnections(() => server.keepAliveTimeout, clock);
  server.on('request', (request, response) => {
    idle.noteRequest(request, response);
    handler.handle(request, response);
  });
  server.on('timeout', idle.noteTimeout);
  // Deadlines of requests are kept by their handler.
  server.requestTimeout = 0;
  return {
    listen: address => {
      const [host, port] = address.split(':');
      return new Promise((resolve, reject) => {
        server.once('error', reject);
        server.listen(Number(port), host, BACKLOG, resolve);
      });
    },
    setIdleTimeout: timeout => {
      server.keepAliveTimeout = timeout;
    },
    close: () => {
      server.close();
      server.closeIdleConnections();
    },
  };
}
