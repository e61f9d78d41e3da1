import type {RegionName, ZoneName} from '@hibiscusbeam/core';
import type {FleetEntrySettings} from '../settings';

/** Which region each zone of the site belongs to. */
export interface SiteRegions {
  /** Undefined if the zone's region is not known. */
  readonly regionOf: (zone: ZoneName) => RegionName | undefined;
  /** Whether a zone is one of the site's; true for all if none are named. */
  readonly isKnownZone: (zone: ZoneName) => boolean;
}

/** Creates the table from an entry's settings. */
export function createSiteRegions({
  zone: ownZone,
  region: ownRegion,
  regions,
}: Pick<FleetEntrySettings, 'zone' | 'region' | 'regions'>): SiteRegions {
  const named = Object.entries(regions ?? {});
  const regionByZone = new Map([[ownZone, ownRegion], ...named]);
  return {
    regionOf: zone => regionByZone.get(zone),
    isKnownZone: zone => named.length === 0 || regionByZone.has(zone),
  };
}
