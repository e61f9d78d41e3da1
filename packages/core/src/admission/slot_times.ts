import type {Milliseconds, MonotonicInstant, ServiceName} from '../types';

/** Time constant of the exponential decay of the recorded times. */
const DECAY_TIME: Milliseconds = 5_000;

/**
 * Weight of the profile, from which expected times are computed, against the
 * recorded times: it counts like requests with this total expected time that
 * held their slots for exactly as long.
 */
const PROFILE_WEIGHT: Milliseconds = 5_000;

/** Bounds of the learned factor, against hints that are far off. */
const MIN_FACTOR = 0.2;
const MAX_FACTOR = 5;

/** Learns how long requests hold slots compared with their expected times. */
export interface SlotTimes {
  /** `expected`: undefined if the request doesn't state its response length. */
  readonly record: (
    service: ServiceName,
    times: {
      readonly expected: Milliseconds | undefined;
      readonly held: Milliseconds;
    },
    now: MonotonicInstant,
  ) => void;
  /** How long a request will hold its slot; 0 if nothing is known. */
  readonly slotTime: (
    service: ServiceName,
    expected: Milliseconds | undefined,
  ) => Milliseconds;
}

interface RecordedTimes {
  /** Of the requests with a known length. */
  readonly expected: Milliseconds;
  readonly heldWithExpected: Milliseconds;
  /** Of all requests. */
  readonly held: Milliseconds;
  readonly count: number;
  readonly at: MonotonicInstant;
}

/**
 * Creates the slot times of all services. Until the first request of a service
 * has ended, its expected times are returned unchanged.
 */
export function createSlotTimes(): SlotTimes {
  const services = new Map<ServiceName, RecordedTimes>();

  return {
    record: (service, {expected, held}, now) => {
      const before = services.get(service);
      const decay = before ? Math.exp((before.at - now) / DECAY_TIME) : 0;
      const isKnown = expected !== undefined;
      services.set(service, {
        expected: (before?.expected ?? 0) * decay + (expected ?? 0),
        heldWithExpected:
          (before?.heldWithExpected ?? 0) * decay + (isKnown ? held : 0),
        held: (before?.held ?? 0) * decay + held,
        count: (before?.count ?? 0) * decay + 1,
        at: now,
      });
    },
    slotTime: (service, expected) => {
      const recorded = services.get(service);
      if (expected === undefined) {
        return recorded === undefined ? 0 : recorded.held / recorded.count;
      }
      if (recorded === undefined) return expected;
      const factor =
        (recorded.heldWithExpected + PROFILE_WEIGHT) /
        (recorded.expected + PROFILE_WEIGHT);
      return expected * Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, factor));
    },
  };
}
