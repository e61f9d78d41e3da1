import type {ZoneName} from '../types';

/** A zone that the operator evacuates. */
export interface EvacuatedZone {
  readonly zone: ZoneName;
  /** Revision of the operator's row. */
  readonly revision: number;
}

/** A row of the operator on a zone's evacuation, written or removed. */
export interface EvacuationChange extends EvacuatedZone {
  readonly isEvacuated: boolean;
}

/** The evacuated zones, as far as one entry knows them. */
export interface Evacuations {
  /** Replaces all rows with those of a store revision. */
  readonly replace: (zones: readonly EvacuatedZone[], revision: number) => void;
  /** Applies rows that changed up to a store revision. */
  readonly change: (
    changes: readonly EvacuationChange[],
    revision: number,
  ) => void;
  readonly zones: () => readonly EvacuatedZone[];
  readonly isEvacuated: (zone: ZoneName) => boolean;
}

/**
 * Creates the set of evacuated zones.
 *
 * The store's revisions order all reads, local and relayed, also across a
 * restore of the store. Without this, a delayed read that is applied after a
 * newer one would drop an evacuation.
 */
export function createEvacuations(): Evacuations {
  let evacuated: ReadonlyMap<ZoneName, EvacuatedZone> = new Map();
  let latestRevision = -Infinity;

  function replace(zones: readonly EvacuatedZone[], revision: number): void {
    if (revision < latestRevision) return;
    latestRevision = revision;
    evacuated = new Map(zones.map(zone => [zone.zone, zone]));
  }

  function change(
    changes: readonly EvacuationChange[],
    revision: number,
  ): void {
    const next = new Map(evacuated);
    for (const {zone, revision: writtenAt, isEvacuated} of changes) {
      if (writtenAt <= latestRevision) continue;
      if (isEvacuated) next.set(zone, {zone, revision: writtenAt});
      else next.delete(zone);
    }
    evacuated = next;
    latestRevision = Math.max(latestRevision, revision);
  }

  return {
    replace,
    change,
    zones: () => [...evacuated.values()],
    isEvacuated: zone => evacuated.has(zone),
  };
}
