import type {InstanceName, Milliseconds} from '../types';

/** A relay that may read a table of the store for the whole site. */
export interface TableReader {
  readonly instance: InstanceName;
  /** Round-trip time to the store. */
  readonly storeDistance: Milliseconds;
}

/**
 * Ratio to the own round-trip time below which another reader is clearly nearer
 * to the store. A call in the store's zone takes 4.3 ms, one from another
 * region at least 6 ms, and calls on the same path differ by less than a fifth.
 */
const NEARER_RATIO = 0.8;

/**
 * Whether `own` leaves reading a table to `other`, which reads it.
 *
 * If the relay of each zone read each configuration of 0.35 MB, changes in
 * quick succession would saturate the links between regions. So the relay
 * nearest to the store reads for all; among equally near ones, the first by
 * name does. Two relays never defer to each other.
 */
export function defersReadingTo(own: TableReader, other: TableReader): boolean {
  if (other.storeDistance < own.storeDistance * NEARER_RATIO) return true;
  const isFarther = own.storeDistance < other.storeDistance * NEARER_RATIO;
  return !isFarther && other.instance < own.instance;
}
