import type {Milliseconds, MonotonicInstant} from '@hibiscusbeam/core';

/** Time as a stand-in sees it; a test gives one that it moves by hand. */
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
