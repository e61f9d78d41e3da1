import type {Milliseconds} from '@hibiscusbeam/core';
import {createWakeablePause} from './wakeable_pause';

/** Pause after a first failure, and the shortest after any other. */
const FIRST_PAUSE: Milliseconds = 400;

/** Longest pause after failures in a row. */
const LONGEST_PAUSE: Milliseconds = 4_000;

/** Share of a pause by which it is shortened, by process. */
const SPREAD = 0.25;

/** Pauses after failed questions to the store, for tables that may come late. */
export interface FailurePause {
  /** Waits after so many failures in a row. */
  readonly wait: (failures: number, signal: AbortSignal) => Promise<void>;
  /** Notes a sign that the store answers: all pauses end. */
  readonly noteAnswer: () => void;
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
export function createFailurePause(spread: number): FailurePause {
  const rest = createWakeablePause();
  const first = createWakeablePause();

  return {
    wait: async (failures, signal) => {
      const grown = FIRST_PAUSE * 2 ** Math.max(0, failures - 1);
      const pause = Math.min(LONGEST_PAUSE, grown) * (1 - SPREAD * spread);
      // A table that is refused while others are answered is asked for no sooner.
      await first.sleep(FIRST_PAUSE, signal);
      const left = pause - FIRST_PAUSE;
      if (left > 0 && !signal.aborted) await rest.sleep(left, signal);
    },
    noteAnswer: rest.wake,
  };
}
