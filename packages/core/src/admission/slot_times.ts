import type {Milliseconds, MonotonicInstant, ServiceName} from '../types';

/** Memory of how long places were held; decays with this constant. */
const DECAY_TIME: Milliseconds = 5_000;

/** Expected time that the profile's word counts for beside what was seen. */
const PROFILE_WEIGHT: Milliseconds = 5_000;

/** Bounds of what is learned, against hints that are far off. */
const MIN_FACTOR = 0.2;
const MAX_FACTOR = 5;

/** Learns how long requests hold places, against what was expected. */
export interface SlotTimes {
  /** `expected`: undefined if the request says nothing of its answer's length. */
  readonly record: (
    service: ServiceName,
    times: {
      readonly expected: Milliseconds | undefined;
      readonly held: Milliseconds;
    },
    now: MonotonicInstant,
  ) => void;
  /** How long a request will hold its place; 0 if nothing is known. */
  readonly slotTime: (
    service: ServiceName,
    expected: Milliseconds | undefined,
  ) => Milliseconds;
}

interface Seen {
  /** Of the requests whose length was known. */
  readonly expected: Milliseconds;
  readonly heldAsExpected: Milliseconds;
  /** Of all requests. */
  readonly held: Milliseconds;
  readonly count: number;
  readonly at: MonotonicInstant;
}

/** Creates the times; the profile is trusted until requests have ended. */
export function createSlotTimes(): SlotTimes {
  const services = new Map<ServiceName, Seen>();

  return {
    record: (service, {expected, held}, now) => {
      const before = services.get(service);
      const kept = before ? Math.exp((before.at - now) / DECAY_TIME) : 0;
      const isKnown = expected !== undefined;
      services.set(service, {
        expected: (before?.expected ?? 0) * kept + (expected ?? 0),
        heldAsExpected:
          (before?.heldAsExpected ?? 0) * kept + (isKnown ? held : 0),
        held: (before?.held ?? 0) * kept + held,
        count: (before?.count ?? 0) * kept + 1,
        at: now,
      });
    },
    slotTime: (service, expected) => {
      const seen = services.get(service);
      if (expected === undefined) {
        return seen === undefined ? 0 : seen.held / seen.count;
      }
      if (seen === undefined) return expected;
      const factor =
        (seen.heldAsExpected + PROFILE_WEIGHT) /
        (seen.expected + PROFILE_WEIGHT);
      return expected * Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, factor));
    },
  };
}
