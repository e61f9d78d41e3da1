import type {Milliseconds, MonotonicInstant} from '@hibiscusbeam/core';

/** Clock of a stand-in; tests pass one that they advance themselves. */
export interface Clock {
  readonly now: () => MonotonicInstant;
  readonly wait: (duration: Milliseconds) => Promise<void>;
}

/** The process's monotonic clock. */
export function createSystemClock(): Clock {
  return {
    now: () => performance.now(),
    wait: duration => new Promise(resolve => setTimeout(resolve, duration)),
  };
}
