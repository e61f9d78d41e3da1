import type {Milliseconds} from '../types';

/**
 * Calls by which the distance is judged: enough that one of them met no queue, few
 * enough that a link which has become slower shows within some seconds.
 */
const SAMPLE_COUNT = 8;

/** How far the store is, by short calls of this process. */
export interface StoreDistance {
  /** Notes how long a call took that the store answers at once. */
  readonly record: (roundTrip: Milliseconds) => void;
  /** The shortest of the last calls; undefined before the first. */
  readonly min: () => Milliseconds | undefined;
}

/** Creates the memory of short calls. */
export function createStoreDistance(): StoreDistance {
  let roundTrips: readonly Milliseconds[] = [];

  return {
    record: roundTrip => {
      roundTrips = [...roundTrips, roundTrip].slice(-SAMPLE_COUNT);
    },
    min: () => (roundTrips.length === 0 ? undefined : Math.min(...roundTrips)),
  };
}
