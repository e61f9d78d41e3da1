import type {Bytes, Milliseconds} from '@hibiscusbeam/core';
import type {Clock} from '@hibiscusbeam/daemon';
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerOptions,
  type ServerResponse,
} from 'node:http';
import {Server as NetServer} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {
  limitConnections,
  type CallerConnections,
  type ConnectionLimits,
} from './caller_connections';
import {createIdleConnections} from './idle_connections';
import type {Expectation, RequestHandler} from './request_handler';

/** Limits on callers until a configuration sets them. */
const INITIAL_LIMITS: CallerLimits = {
  headerBytes: 16_384,
  headerTimeout: 3_000,
  idleTimeout: 15_000,
};

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

/** Limits on what callers send, as the operator configures them. */
export interface CallerLimits {
  /** Maximum size of a header. */
  readonly headerBytes: Bytes;
  /** Time in which a header has to arrive. */
  readonly headerTimeout: Milliseconds;
  /** Time for which a connection is kept without a request. */
  readonly idleTimeout: Milliseconds;
}

/** Limits of the process on callers' connections. */
export type CallerServerOptions = Omit<
  ConnectionLimits,
  'maxPipelined' | 'headerTimeout' | 'idleTimeout'
>;

/** Length of the shortest header line, such as `a:` with its line break. */
const SHORTEST_LINE: Bytes = 4;

/** Callers send their requests one after the other. */
const MAX_PIPELINED = 4;

/** HTTP server for callers. */
export interface CallerServer {
  readonly listen: (address: string) => Promise<void>;
  readonly setLimits: (limits: CallerLimits) => void;
  /** Number of open connections. */
  readonly connections: CallerConnections['count'];
  /**
   * Accepts the connections that are already open, then no more. Requests on
   * them are still handled.
   */
  readonly stopListening: () => Promise<void>;
  /** Reads what has already arrived, then accepts nothing more. */
  readonly close: () => Promise<void>;
}

/** Lines that fit a header. Node.js drops all beyond its limit silently. */
function mostLines(headerBytes: Bytes): number {
  return Math.ceil(headerBytes / SHORTEST_LINE);
}

async function readArrived(): Promise<void> {
  for (let turn = 0; turn < TURNS_TO_READ; turn += 1) await nextTurn();
}

/** Creates the server; it passes requests to `handler`. */
export function createCallerServer(
  handler: RequestHandler,
  clock: Clock,
  options: CallerServerOptions,
): CallerServer {
  let limits = INITIAL_LIMITS;
  // The maximum size of a header is read at each connection.
  const server: Server & Pick<ServerOptions, 'maxHeaderSize'> = createServer({
    keepAliveTimeout: limits.idleTimeout,
    maxHeaderSize: limits.headerBytes,
  });
  const connections = limitConnections(server, {
    ...options,
    maxPipelined: MAX_PIPELINED,
    headerTimeout: () => limits.headerTimeout,
    idleTimeout: () => limits.idleTimeout,
  });
  const idleConnections = createIdleConnections(
    () => server.keepAliveTimeout,
    clock,
  );
  const handleRequest =
    (expectation: Expectation) =>
    (request: IncomingMessage, response: ServerResponse): void => {
      if (!connections.recordRequest(request, response)) return;
      idleConnections.recordRequest(request, response);
      handler.handle(request, response, expectation);
    };
  server.maxHeadersCount = mostLines(limits.headerBytes);
  server.on('request', handleRequest('none'));
  server.on('checkContinue', handleRequest('continue'));
  server.on('checkExpectation', handleRequest('unknown'));
  server.on('timeout', idleConnections.handleTimeout);
  // The limits on connections and the request handler enforce them: timers run
  // before sockets are read, so Node.js would refuse what has arrived during a
  // stall of the process.
  server.headersTimeout = 0;
  server.requestTimeout = 0;
  return {
    listen: address => {
      const [host, port] = address.split(':');
      return new Promise((resolve, reject) => {
        server.once('error', reject);
        server.listen(Number(port), host, ACCEPT_BACKLOG, resolve);
      });
    },
    setLimits: changed => {
      limits = changed;
      server.keepAliveTimeout = changed.idleTimeout;
      server.maxHeaderSize = changed.headerBytes;
      server.maxHeadersCount = mostLines(changed.headerBytes);
    },
    connections: connections.count,
    stopListening: async () => {
      await readArrived();
      // The HTTP server's own close would also close idle connections.
      NetServer.prototype.close.call(server);
    },
    close: async () => {
      await readArrived();
      server.close();
      server.closeIdleConnections();
    },
  };
}
