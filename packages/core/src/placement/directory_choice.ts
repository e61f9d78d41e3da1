import type {RegionName, ZoneName} from '../types';

/** An entry that callers may be sent to. */
export interface UsableEntry {
  readonly zone: ZoneName;
  /** Undefined if its zone's region is not known. */
  readonly region: RegionName | undefined;
  readonly callerAddress: string;
}

/** Who asks for entries, and for what. */
export interface EntryQuery {
  readonly zone: ZoneName | undefined;
  readonly region: RegionName | undefined;
  /** Regions that all routes of the host with residency allow, if any has. */
  readonly allowedRegions: ReadonlySet<RegionName> | undefined;
}

/** Entries named at least, so that a caller has another when one fails. */
const MIN_ENTRIES = 2;

/** Most addresses in one answer. */
const MAX_ENTRIES = 64;

/**
 * The addresses for a caller: the entries of its own zone, else of its own
 * region, else of regions in which its requests are served, else all. Fewer than
 * two entries are passed over.
 */
export function chooseEntries(
  entries: readonly UsableEntry[],
  {zone, region, allowedRegions}: EntryQuery,
): readonly string[] {
  const circles = [
    entries.filter(entry => entry.zone === zone),
    entries.filter(entry => region !== undefined && entry.region === region),
    entries.filter(
      entry =>
        entry.region !== undefined &&
        allowedRegions?.has(entry.region) === true,
    ),
  ];
  const near = circles.find(circle => circle.length >= MIN_ENTRIES);
  return (near ?? entries)
    .slice(0, MAX_ENTRIES)
    .map(entry => entry.callerAddress);
}
