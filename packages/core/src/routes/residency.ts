import type {RegionName} from '../types';
import type {Route, RoutingConfiguration, WorkspaceAccess} from './types';

/** A route and a workspace that allow no region in common. */
export interface ResidencyConflict {
  readonly route: string;
  readonly workspace: string;
}

/** Whether a configuration restricts any requests to regions. */
export function restrictsRegions({
  routes,
  workspaces = [],
}: RoutingConfiguration): boolean {
  return [...routes, ...workspaces].some(
    ({allowedRegions}) => allowedRegions !== undefined,
  );
}

/**
 * Routes and workspaces whose requests can't be served anywhere. Only the first
 * route and workspace of each pair of region lists are reported: a site has
 * thousands of pairs, but few lists.
 */
export function findResidencyConflicts({
  routes,
  workspaces = [],
}: RoutingConfiguration): readonly ResidencyConflict[] {
  return firstOfEachRegionList(routes).flatMap(route =>
    firstOfEachRegionList(workspaces)
      .filter(workspace => areDisjoint(route, workspace))
      .map(workspace => ({route: route.name, workspace: workspace.name})),
  );
}

/**
 * Regions allowed by all of the routes that restrict regions; undefined if none
 * does.
 */
export function commonRegions(
  routes: readonly Pick<Route, 'allowedRegions'>[],
): ReadonlySet<RegionName> | undefined {
  const lists = routes.flatMap(({allowedRegions}) =>
    allowedRegions === undefined ? [] : [allowedRegions],
  );
  const [first, ...others] = lists;
  if (first === undefined) return undefined;
  const isCommon = (region: RegionName): boolean =>
    others.every(list => list.includes(region));
  return new Set(first.filter(isCommon));
}

function firstOfEachRegionList<Bound extends Route | WorkspaceAccess>(
  bound: readonly Bound[],
): readonly Bound[] {
  const byList = new Map<string, Bound>();
  for (const one of bound) {
    if (one.allowedRegions === undefined) continue;
    const list = JSON.stringify([...one.allowedRegions].sort());
    if (!byList.has(list)) byList.set(list, one);
  }
  return [...byList.values()];
}

function areDisjoint(route: Route, workspace: WorkspaceAccess): boolean {
  const allowed = new Set(route.allowedRegions);
  return !workspace.allowedRegions?.some(region => allowed.has(region));
}
