import type {Milliseconds} from '../types';

/** How a reading of one of the store's tables may be used. */
export type ReadingUse =
  /** Changes that it misses are not in force yet. */
  | 'current'
  /**
   * Too old, but the store was found unavailable, so nothing newer is known.
   */
  | 'lastKnown'
  /** Too old: changes that it misses may be in force. */
  | 'outdated';

/** Age of a reading and its limit. */
export interface AgedReading {
  /** Time since the store is known to have read the table. */
  readonly age: Milliseconds;
  /** Time after which a change must be in force. */
  readonly bound: Milliseconds;
  readonly isStoreUnavailable: boolean;
}

/**
 * Evaluates a reading. Past its bound, it may be used only while the store is
 * unavailable.
 */
export function evaluateReading(reading: AgedReading): ReadingUse {
  if (reading.age < reading.bound) return 'current';
  return reading.isStoreUnavailable ? 'lastKnown' : 'outdated';
}
