import type {RegionName} from '../types';
import type {Route, WorkspaceAccess} from './types';

/** Where a request may be served. */
export type Destinations =
  | {readonly kind: 'anywhere'}
  | {readonly kind: 'regions'; readonly regions: ReadonlySet<RegionName>};

/** The destinations of a request without a residency restriction. */
export const ANYWHERE: Destinations = {kind: 'anywhere'};

/**
 * Where a request may be served; its route and its workspace both restrict it.
 */
export function destinationsOf(
  route: Pick<Route, 'allowedRegions'>,
  workspace: Pick<WorkspaceAccess, 'allowedRegions'> | undefined,
): Destinations {
  const ofRoute = route.allowedRegions;
  const ofWorkspace = workspace?.allowedRegions;
  if (ofRoute === undefined && ofWorkspace === undefined) return ANYWHERE;
  const regions = (ofRoute ?? ofWorkspace ?? []).filter(
    region => ofWorkspace === undefined || ofWorkspace.includes(region),
  );
  return {kind: 'regions', regions: new Set(regions)};
}

/** Whether there is no region in which a request may be served. */
export function areEmpty(destinations: Destinations): boolean {
  return destinations.kind === 'regions' && destinations.regions.size === 0;
}

/**
 * Whether a request may be served in `region`, which is undefined if unknown.
 */
export function mayBeServedIn(
  destinations: Destinations,
  region: RegionName | undefined,
): boolean {
  switch (destinations.kind) {
    case 'anywhere':
      return true;
    case 'regions':
      return region !== undefined && destinations.regions.has(region);
  }
}
