import type {Milliseconds, MonotonicInstant, ServiceName} from '../types';

/** Memory of how long places were held; decays with this constant. */
const MEMORY: Milliseconds = 5_000;

/** Expected time that the profile's word counts for beside what was seen. */
const PROFILE_WEIGHT: Milliseconds = 5_000;

/** Bounds of what is learned, against hints that are far off. */
const LEAST = 0.2;
const MOST = 5;

/** Learns how long requests hold places, against what was expected. */
export interface PlaceTimes {
  readonly note: (
    service: ServiceName,
    times: {readonly expected: Milliseconds; readonly held: Milliseconds},
    now: MonotonicInstant,
  ) => void;
  /** Times longer than expected that a request holds its place. */
  readonly factor: (service: ServiceName) => number;
}

/** Creates the times; the profile is trusted until requests have ended. */
export function createPlaceTimes(): PlaceTimes {
  const seen = new Map<
    ServiceName,
    {expected: Milliseconds; held: Milliseconds; at: MonotonicInstant}
  >();

  return {
    note: (service, {expected, held}, now) => {
      const before = seen.get(service) ?? {expected: 0, held: 0, at: now};
      const kept = Math.exp((before.at - now) / MEMORY);
      seen.set(service, {
        expected: before.expected * kept + expected,
        held: before.held * kept + held,
        at: now,
      });
    },
    factor: service => {
      const {expected, held} = seen.get(service) ?? {expected: 0, held: 0};
      const factor = (held + PROFILE_WEIGHT) / (expected + PROFILE_WEIGHT);
      return Math.min(MOST, Math.max(LEAST, factor));
    },
  };
}
