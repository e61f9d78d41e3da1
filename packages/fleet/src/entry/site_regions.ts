import type {RegionName, ZoneName} from '@hibiscusbeam/core';
import type {FleetEntrySettings} from '../settings';

/** Region of each zone of the site. */
export interface SiteRegions {
  /** Undefined if the zone's region is not known. */
  readonly regionOf: (zone: ZoneName) => RegionName | undefined;
  /**
   * Whether a zone belongs to the site; always true if no regions are
   * configured.
   */
  readonly isKnownZone: (zone: ZoneName) => boolean;
}

/** Builds the zone table from the settings of an entry. */
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
