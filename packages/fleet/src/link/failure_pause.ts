import type {Milliseconds} from '@hibiscusbeam/core';
import {createWakeablePause} from './wakeable_pause';

/** Pause after the first failure, and minimum of any later one. */
const MIN_PAUSE: Milliseconds = 400;

/** Maximum pause after consecutive failures. */
const MAX_PAUSE: Milliseconds = 4_000;

/** Maximum share by which a process shortens its pauses. */
const MAX_JITTER = 0.25;

/**
 * Pauses after failed requests to the store, for tables that need not be read
 * in time.
 */
export interface FailurePause {
  /** Waits after the given number of consecutive failures. */
  readonly wait: (failures: number, signal: AbortSignal) => Promise<void>;
  /** Records that the store answers, which ends all pauses. */
  readonly recordAnswer: () => void;
}

/**
 * Creates the pauses of a process; `jitter` is a number in [0, 1) that differs
 * between processes.
 *
 * With fixed pauses of 400 ms, 80 processes would send 2,100 requests for
 * members and quarantined requests in vain while the store is unavailable for 8
 * s, and as many at once when it is back. So pauses grow, and end early once
 * another request of this process, or of its relay, is answered.
 */
export function createFailurePause(jitter: number): FailurePause {
  const remainingPause = createWakeablePause();
  const minPause = createWakeablePause();

  return {
    wait: async (failures, signal) => {
      const grown = MIN_PAUSE * 2 ** Math.max(0, failures - 1);
      const pause = Math.min(MAX_PAUSE, grown) * (1 - MAX_JITTER * jitter);
      // Answers for other tables must not shorten this part: a table that is
      // refused while others are answered is not requested more often.
      await minPause.sleep(MIN_PAUSE, signal);
      const left = pause - MIN_PAUSE;
      if (left > 0 && !signal.aborted) await remainingPause.sleep(left, signal);
    },
    recordAnswer: remainingPause.wake,
  };
}
