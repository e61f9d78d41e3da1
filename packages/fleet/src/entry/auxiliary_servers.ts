import {
  chooseEntries,
  type Milliseconds,
  type RegionName,
} from '@hibiscusbeam/core';
import fastify, {type FastifyInstance} from 'fastify';
import type {DirectoryProtocol, MemberDescription} from '../ports';
import type {FleetMetrics} from './fleet_metrics';
import type {SiteRegions} from './site_regions';

/** Where a face listens, and how it closes. */
export interface AuxiliaryServer {
  readonly close: () => Promise<void>;
}

/** What the directory needs. */
export interface DirectoryServerOptions {
  readonly address: string;
  readonly protocol: DirectoryProtocol;
  /** Entries that callers may be sent to, this one among them. */
  readonly usable: () => readonly MemberDescription[];
  readonly keepFor: Milliseconds;
  readonly regionOf: SiteRegions['regionOf'];
  /** Regions that all routes of a host with residency allow, if any has. */
  readonly regionsOf: (host: string) => ReadonlySet<RegionName> | undefined;
}

/**
 * A server whose routes have no schemas. Without compilers of our own the library
 * loads its own for them, 45 ms of a start of 500.
 *
 * Failure: a caller behind a cut link has sent half of a question, and a planned
 * stop waits for the rest until the platform kills the process. Guard: closing
 * ends all connections; whole questions are answered at once, so none is cut.
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

/** Opens the directory: which entries a caller may use. */
export function openDirectoryServer(
  options: DirectoryServerOptions,
): Promise<AuxiliaryServer> {
  const server = openServer();
  const {protocol} = options;
  server.get(protocol.path, async (request, reply) => {
    const question = protocol.readRequest(
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
      zone: question.zone,
      region:
        question.region ?? (question.zone && options.regionOf(question.zone)),
      allowedRegions: question.host
        ? options.regionsOf(question.host)
        : undefined,
    });
    if (addresses.length === 0) return reply.code(503).send();
    return protocol.writeAnswer({addresses, keepFor: options.keepFor});
  });
  return listen(server, options.address);
}

/** Opens the face that says whether this entry takes requests. */
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

/** Opens the face on which metrics are read. */
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
