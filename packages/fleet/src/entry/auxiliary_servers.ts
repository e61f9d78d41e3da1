import {
  chooseEntries,
  type Milliseconds,
  type RegionName,
} from '@hibiscusbeam/core';
import fastify, {type FastifyInstance} from 'fastify';
import {monotonicClock} from '@hibiscusbeam/daemon';
import type {DirectoryProtocol, MemberDescription} from '../ports';
import {limitConnections, type ConnectionLimits} from './caller_connections';
import type {FleetMetrics} from './fleet_metrics';
import type {SiteRegions} from './site_regions';

const READING_METHODS = ['GET', 'HEAD'];

/** Callers send a request at once, and read its answer. */
const CONNECTION_LIMITS: Omit<ConnectionLimits, 'maxConnections'> = {
  maxHeaderMemory: 4_000_000,
  maxPipelined: 4,
  headerTimeout: () => 3_000,
  idleTimeout: () => 15_000,
  unread: {longestWait: () => undefined, closeLongest: () => undefined},
  closeArriving: () => false,
  onClosed: () => undefined,
  clock: monotonicClock,
};

/** A running server of the entry. */
export interface AuxiliaryServer {
  readonly close: () => Promise<void>;
}

/** Options of the directory server. */
export interface DirectoryServerOptions {
  readonly address: string;
  readonly protocol: DirectoryProtocol;
  /** Entries that callers may be sent to, including this one. */
  readonly usable: () => readonly MemberDescription[];
  readonly keepFor: Milliseconds;
  readonly maxConnections: number;
  readonly regionOf: SiteRegions['regionOf'];
  /**
   * Regions that all routes of a host with residency rules allow; undefined if
   * it has none.
   */
  readonly regionsOf: (host: string) => ReadonlySet<RegionName> | undefined;
}

/**
 * Creates a server whose routes have no schemas. Without compilers of our own,
 * fastify loads its default ones, which takes 45 ms of a start of 500.
 *
 * Closing ends all connections. Otherwise a planned stop waits for the rest of
 * a request from a caller behind a broken link, until the platform kills the
 * process. Complete requests are answered at once, so none is cut off.
 */
function openServer(maxConnections: number): FastifyInstance {
  const refuse = () => (): never => {
    throw new Error('routes of this server have no schemas');
  };
  const compilersFactory = {buildValidator: refuse, buildSerializer: refuse};
  const server = fastify({
    schemaController: {compilersFactory},
    forceCloseConnections: true,
  });
  const connections = limitConnections(server.server, {
    ...CONNECTION_LIMITS,
    maxConnections,
  });
  server.addHook('onRequest', (request, reply, next) => {
    if (!connections.recordRequest(request.raw, reply.raw)) {
      reply.hijack();
    } else if (READING_METHODS.includes(request.method)) next();
    // All requests are for reading; no body is read.
    else void reply.code(404).header('connection', 'close').send();
  });
  return server;
}

/**
 * Starts the directory server, which tells callers which entries they may use.
 */
export function openDirectoryServer(
  options: DirectoryServerOptions,
): Promise<AuxiliaryServer> {
  const server = openServer(options.maxConnections);
  const {protocol} = options;
  server.get(protocol.path, async (request, reply) => {
    const query = protocol.readRequest(
      request.query as Record<string, string | undefined>,
    );
    const entries = options
      .usable()
      .flatMap(({zone, callerAddress}) =>
        callerAddress === undefined
          ? []
          : [{zone, region: options.regionOf(zone), callerAddress}],
      );
    const addresses = chooseEntries(entries, {
      zone: query.zone,
      region: query.region ?? (query.zone && options.regionOf(query.zone)),
      allowedRegions: query.host ? options.regionsOf(query.host) : undefined,
    });
    if (addresses.length === 0) return reply.code(503).send();
    return protocol.writeAnswer({addresses, keepFor: options.keepFor});
  });
  return listen(server, options.address);
}

/** Options of the readiness server. */
export interface ReadinessServerOptions {
  readonly address: string;
  readonly protocol: DirectoryProtocol;
  readonly isReady: () => boolean;
  readonly maxConnections: number;
}

/** Starts the server that reports whether this entry accepts requests. */
export function openReadinessServer(
  options: ReadinessServerOptions,
): Promise<AuxiliaryServer> {
  const server = openServer(options.maxConnections);
  server.get(options.protocol.readinessPath, (_request, reply) =>
    reply.code(options.isReady() ? 200 : 503).send(),
  );
  return listen(server, options.address);
}

/** Options of the metrics server. */
export interface MetricsServerOptions {
  readonly address: string;
  readonly metrics: FleetMetrics;
  readonly maxConnections: number;
}

/** Starts the server that exposes metrics. */
export function openMetricsServer({
  address,
  metrics,
  maxConnections,
}: MetricsServerOptions): Promise<AuxiliaryServer> {
  const server = openServer(maxConnections);
  server.get('/metrics', async (_request, reply) =>
    reply.type(metrics.contentType).send(await metrics.text()),
  );
  return listen(server, address);
}

async function listen(
  server: FastifyInstance,
  address: string,
): Promise<AuxiliaryServer> {
  const [host, port] = address.split(':');
  await server.listen({host, port: Number(port)});
  return {close: () => server.close()};
}
