import type {Milliseconds} from '../types';

/** What a reading of one of the store's tables is good for. */
export type ReadingUse =
  /** What it misses is not in force yet. */
  | 'current'
  /** Too old, but the store was seen not to serve, so nothing newer is known. */
  | 'lastKnown'
  /** Too old, and changes may be in force that it misses. */
  | 'outdated';

/** How old a reading is, and how old it may be. */
export interface AgedReading {
  /** Since the store surely looked. */
  readonly age: Milliseconds;
  /** Time after which a change must be in force. */
  readonly bound: Milliseconds;
  readonly isStoreUnavailable: boolean;
}

/** Judges a reading; what has passed its bound may be used in an outage only. */
export function evaluateReading(reading: AgedReading): ReadingUse {
  if (reading.age < reading.bound) return 'current';
  return reading.isStoreUnavailable ? 'lastKnown' : 'outdated';
}
