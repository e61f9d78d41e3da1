import type {RegionName, ZoneName} from '../types';

/** An entry that callers may be sent to. */
export interface UsableEntry {
  readonly zone: ZoneName;
  /** Undefined if its zone's region is not known. */
  readonly region: RegionName | undefined;
  readonly callerAddress: string;
}

/** The caller's location and the regions its requests may use. */
export interface EntryQuery {
  readonly zone: ZoneName | undefined;
  readonly region: RegionName | undefined;
  /**
   * Regions that all routes of the host with data residency allow; undefined if
   * no route restricts regions.
   */
  readonly allowedRegions: ReadonlySet<RegionName> | undefined;
}

/**
 * Minimum number of entries to return, so that a caller has another one when
 * one fails.
 */
const MIN_ENTRIES = 2;

/** Maximum number of addresses in one response. */
const MAX_ENTRIES = 64;

/**
 * Returns the entry addresses for a caller: those of its zone, else of its
 * region, else of regions where its requests are served, else all. A group of
 * fewer than two entries is skipped.
 */
export function chooseEntries(
  entries: readonly UsableEntry[],
  {zone, region, allowedRegions}: EntryQuery,
): readonly string[] {
  const groups = [
    entries.filter(entry => entry.zone === zone),
    entries.filter(entry => region !== undefined && entry.region === region),
    entries.filter(
      entry =>
        entry.region !== undefined &&
        allowedRegions?.has(entry.region) === true,
    ),
  ];
  const near = groups.find(group => group.length >= MIN_ENTRIES);
  return (near ?? entries)
    .slice(0, MAX_ENTRIES)
    .map(entry => entry.callerAddress);
}
