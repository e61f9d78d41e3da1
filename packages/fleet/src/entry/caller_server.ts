import type {Milliseconds} from '@hibiscusbeam/core';
import type {Clock} from '@hibiscusbeam/daemon';
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {createIdleConnections} from './idle_connections';
import type {Expectation, RequestHandler} from './request_handler';

/** Idle timeout of callers' connections until a configuration sets one. */
const INITIAL_IDLE_TIMEOUT: Milliseconds = 15_000;

/**
 * Length of the accept queue; a burst of callers opens hundreds of connections
 * at once.
 */
const ACCEPT_BACKLOG = 1_024;

/**
 * Turns of the event loop in which a new connection is accepted and the request
 * on it is read.
 */
const TURNS_TO_READ = 3;

/** HTTP server for callers. */
export interface CallerServer {
  readonly listen: (address: string) => Promise<void>;
  readonly setIdleTimeout: (timeout: Milliseconds) => void;
  /** Reads what has already arrived, then accepts nothing more. */
  readonly close: () => Promise<void>;
}

/** Creates the server; it passes requests to `handler`. */
export function createCallerServer(
  handler: RequestHandler,
  clock: Clock,
): CallerServer {
  const server: Server = createServer({keepAliveTimeout: INITIAL_IDLE_TIMEOUT});
  const idleConnections = createIdleConnections(
    () => server.keepAliveTimeout,
    clock,
  );
  const handleRequest =
    (expectation: Expectation) =>
    (request: IncomingMessage, response: ServerResponse): void => {
      idleConnections.recordRequest(request, response);
      handler.handle(request, response, expectation);
    };
  server.on('request', handleRequest('none'));
  server.on('checkContinue', handleRequest('continue'));
  server.on('checkExpectation', handleRequest('unknown'));
  server.on('timeout', idleConnections.handleTimeout);
  // The request handler enforces deadlines itself.
  server.requestTimeout = 0;
  return {
    listen: address => {
      const [host, port] = address.split(':');
      return new Promise((resolve, reject) => {
        server.once('error', reject);
        server.listen(Number(port), host, ACCEPT_BACKLOG, resolve);
      });
    },
    setIdleTimeout: timeout => {
      server.keepAliveTimeout = timeout;
    },
    close: async () => {
      for (let turn = 0; turn < TURNS_TO_READ; turn += 1) await nextTurn();
      server.close();
      server.closeIdleConnections();
    },
  };
}
