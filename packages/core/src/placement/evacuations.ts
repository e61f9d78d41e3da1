import type {ZoneName} from '../types';

/** A zone that the operator wants evacuated. */
export interface EvacuatedZone {
  readonly zone: ZoneName;
  /** Revision of the operator's row. */
  readonly revision: number;
}

/** A row of the operator on a zone's evacuation, as it was written or removed. */
export interface EvacuationChange extends EvacuatedZone {
  readonly isEvacuated: boolean;
}

/** The zones that are evacuated, as far as one entry knows. */
export interface Evacuations {
  /** Takes all rows, as of a revision of the store. */
  readonly replace: (zones: readonly EvacuatedZone[], revision: number) => void;
  /** Takes rows that have changed up to a revision of the store. */
  readonly change: (
    changes: readonly EvacuationChange[],
    revision: number,
  ) => void;
  readonly zones: () => readonly EvacuatedZone[];
  readonly isEvacuated: (zone: ZoneName) => boolean;
}

/**
 * Creates the memory of evacuations.
 *
 * Failure: a reading that was held up on its way is taken after a newer one, and
 * an evacuation is forgotten. Guard: the store's revisions order all readings,
 * own and relayed, also across a restore of the store.
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
