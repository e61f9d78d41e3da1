import type {Milliseconds} from '../types';

/**
 * Number of calls that determine the distance: enough that one of them met no
 * queue, few enough that a link which has become slower is noticed within a few
 * seconds.
 */
const SAMPLE_COUNT = 8;

/** Round-trip time to the store, from short calls of this process. */
export interface StoreDistance {
  /** Records the duration of a call that the store answers at once. */
  readonly record: (roundTrip: Milliseconds) => void;
  /** Minimum of the last calls; undefined before the first. */
  readonly min: () => Milliseconds | undefined;
}

/** Creates a tracker of short calls. */
export function createStoreDistance(): StoreDistance {
  let roundTrips: readonly Milliseconds[] = [];

  return {
    record: roundTrip => {
      roundTrips = [...roundTrips, roundTrip].slice(-SAMPLE_COUNT);
    },
    min: () => (roundTrips.length === 0 ? undefined : Math.min(...roundTrips)),
  };
}
