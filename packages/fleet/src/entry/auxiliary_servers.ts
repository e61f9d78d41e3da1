import {
  chooseEntries,
  type Milliseconds,
  type RegionName,
} from '@hibiscusbeam/core';
import fastify, {type FastifyInstance} from 'fastify';
import type {DirectoryProtocol, MemberDescription} from '../ports';
import type {FleetMetrics} from './fleet_metrics';
import type {SiteRegions} from './site_regions';

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
function openServer(): FastifyInstance {
  const refuse = () => (): never => {
    throw new Error('routes of this server have no schemas');
  };
  const compilersFactory = {buildValidator: refuse, buildSerializer: refuse};
  return fastify({
    schemaController: {compilersFactory},
    forceCloseConnections: true,
  });
}

/**
 * Starts the directory server, which tells callers which entries they may use.
 */
export function openDirectoryServer(
  options: DirectoryServerOptions,
): Promise<AuxiliaryServer> {
  const server = openServer();
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

/** Starts the server that reports whether this entry accepts requests. */
export function openReadinessServer(
  address: string,
  protocol: DirectoryProtocol,
  isReady: () => boolean,
): Promise<AuxiliaryServer> {
  const server = openServer();
  server.get(protocol.readinessPath, (_request, reply) =>
    reply.code(isReady() ? 200 : 503).send(),
  );
  return listen(server, address);
}

/** Starts the server that exposes metrics. */
export function openMetricsServer(
  address: string,
  metrics: FleetMetrics,
): Promise<AuxiliaryServer> {
  const server = openServer();
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
