import type {Milliseconds} from '@hibiscusbeam/core';
import {createWakeablePause} from './wakeable_pause';

/** Pause after a first failure, and the shortest after any other. */
const MIN_PAUSE: Milliseconds = 400;

/** Longest pause after failures in a row. */
const MAX_PAUSE: Milliseconds = 4_000;

/** Share of a pause by which it is shortened, by process. */
const MAX_JITTER = 0.25;

/** Pauses after failed questions to the store, for tables that may come late. */
export interface FailurePause {
  /** Waits after so many failures in a row. */
  readonly wait: (failures: number, signal: AbortSignal) => Promise<void>;
  /** Notes a sign that the store answers: all pauses end. */
  readonly recordAnswer: () => void;
}

/**
 * Creates the pauses of a process; `spread` is a number in [0, 1) that differs by
 * process.
 *
 * Failure: the store is away for 8 s, and 80 processes ask it for members and
 * quarantined requests each 400 ms: 2,100 calls in vain, and as many at once when it
 * is back. Guard: pauses grow, and end early once another question of this process,
 * or its relay's, is answered.
 */
export function createFailurePause(jitter: number): FailurePause {
  const remainingPause = createWakeablePause();
  const minPause = createWakeablePause();

  return {
    wait: async (failures, signal) => {
      const grown = MIN_PAUSE * 2 ** Math.max(0, failures - 1);
      const pause = Math.min(MAX_PAUSE, grown) * (1 - MAX_JITTER * jitter);
      // A table that is refused while others are answered is asked for no sooner.
      await minPause.sleep(MIN_PAUSE, signal);
      const left = pause - MIN_PAUSE;
      if (left > 0 && !signal.aborted) await remainingPause.sleep(left, signal);
    },
    recordAnswer: remainingPause.wake,
  };
}
