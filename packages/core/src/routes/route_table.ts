import type {RegionName, ServiceName} from '../types';
import {hash32} from '../utils/hash';
import {restrictsRegions, commonRegions} from './residency';
import type {
  Route,
  RoutingConfiguration,
  ServiceDescription,
  WorkspaceAccess,
} from './types';

/** Who sends a request, according to its key. */
export type CallerAccess =
  | {readonly kind: 'workspace'; readonly workspace: WorkspaceAccess}
  /** The route or the site requires no key. */
  | {readonly kind: 'anonymous'}
  /** No key, or one that no workspace has. */
  | {readonly kind: 'denied'};

/** Lookups in one configuration. */
export interface RouteTable {
  readonly version: number;
  readonly configuration: RoutingConfiguration;
  /** The route with the longest prefix that matches `path`. */
  readonly find: (host: string, path: string) => Route | undefined;
  readonly access: (route: Route, key: string | undefined) => CallerAccess;
  readonly service: (name: ServiceName) => ServiceDescription | undefined;
  /** Whether the configuration restricts requests to regions. */
  readonly restrictsRegions: boolean;
  /**
   * Regions that are allowed by all routes of a host that restrict regions, if
   * any does.
   */
  readonly regionsOf: (host: string) => ReadonlySet<RegionName> | undefined;
}

/** Prepares a configuration for lookups. */
export function createRouteTable(
  configuration: RoutingConfiguration,
): RouteTable {
  const byHost = new Map<string, Route[]>();
  for (const route of configuration.routes) {
    const ofHost = byHost.get(route.host);
    if (ofHost === undefined) byHost.set(route.host, [route]);
    else ofHost.push(route);
  }
  for (const routes of byHost.values()) {
    routes.sort((left, right) => right.prefix.length - left.prefix.length);
  }
  const holders = new Map<string, WorkspaceAccess>();
  for (const workspace of configuration.workspaces ?? []) {
    for (const key of workspace.keys) holders.set(key, workspace);
  }
  const services = new Map(
    configuration.services.map(service => [service.name, service] as const),
  );

  const isRestricted = restrictsRegions(configuration);

  function access(route: Route, key: string | undefined): CallerAccess {
    const holder = key === undefined ? undefined : holders.get(key);
    if (holder !== undefined) return {kind: 'workspace', workspace: holder};
    if (configuration.workspaces === undefined || route.anonymous) {
      return {kind: 'anonymous'};
    }
    return {kind: 'denied'};
  }

  return {
    version: configuration.version,
    configuration,
    find: (host, path) =>
      byHost.get(hostName(host))?.find(route => path.startsWith(route.prefix)),
    access,
    service: name => services.get(name),
    restrictsRegions: isRestricted,
    regionsOf: host =>
      isRestricted
        ? commonRegions(byHost.get(hostName(host)) ?? [])
        : undefined,
  };
}

/** The host of a `Host` header in lower case, without its port. */
function hostName(host: string): string {
  return host.replace(/:\d*$/, '').toLowerCase();
}

/**
 * The service that serves a request of a split route. A hash of the request's
 * id decides, so that each retry goes to the same service.
 */
export function chooseService(
  route: Route,
  requestId: string,
): ServiceName | undefined {
  const total = route.shares.reduce((sum, {weight}) => sum + weight, 0);
  let left = (hash32(requestId) / 2 ** 32) * total;
  for (const {service, weight} of route.shares) {
    left -= weight;
    if (left < 0) return service;
  }
  return route.shares.at(-1)?.service;
}
