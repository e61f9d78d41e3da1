import type {Milliseconds, MonotonicInstant} from '@hibiscusbeam/core';
import type {Clock} from '@hibiscusbeam/daemon';

/** Shorter stalls don't count: a peer takes longer to restart. */
const MIN_STALL: Milliseconds = 500;

/** Time after a stall in which what arrived during it is read. */
const READING_AFTER_STALL: Milliseconds = 1_000;

/** Detects that the event loop has not run for a while. */
export interface StallMonitor {
  /** Records that the event loop runs; called periodically. */
  readonly record: () => void;
  /** Whether what is read now may have arrived during a stall. */
  readonly hasStalled: () => boolean;
}

/** Creates the monitor; `clock` also counts suspensions of the machine. */
export function createStallMonitor(clock: Clock): StallMonitor {
  let ranAt = clock();
  let stalledUntil: MonotonicInstant = -Infinity;
  return {
    record: () => {
      const now = clock();
      if (now - ranAt >= MIN_STALL) stalledUntil = now;
      ranAt = now;
    },
    hasStalled: () => {
      const now = clock();
      const isLate = now - ranAt >= MIN_STALL;
      return isLate || now - stalledUntil <= READING_AFTER_STALL;
    },
  };
}
