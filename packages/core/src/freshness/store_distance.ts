import type {Milliseconds} from '../types';

/**
 * Calls by which the distance is judged: enough that one of them met no queue, few
 * enough that a link which has become slower shows within some seconds.
 */
const JUDGED_CALLS = 8;

/** How far the store is, by short calls of this process. */
export interface StoreDistance {
  /** Notes how long a call took that the store answers at once. */
  readonly note: (roundTrip: Milliseconds) => void;
  /** The shortest of the last calls; undefined before the first. */
  readonly shortest: () => Milliseconds | undefined;
}

/** Creates the memory of short calls. */
export function createStoreDistance(): StoreDistance {
  let roundTrips: readonly Milliseconds[] = [];

  return {
    note: roundTrip => {
      roundTrips = [...roundTrips, roundTrip].slice(-JUDGED_CALLS);
    },
    shortest: () =>
      roundTrips.length === 0 ? undefined : Math.min(...roundTrips),
  };
}
