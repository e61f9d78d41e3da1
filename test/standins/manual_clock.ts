import type {Clock} from '@hibiscusbeam/standins';

/** A clock that only the test advances. */
export interface ManualClock extends Clock {
  /** Advances by `duration` milliseconds; waits end in order of their time. */
  readonly advance: (duration: number) => Promise<void>;
}

/** Runs all callbacks of settled promises. */
function flushPromises(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

/** Creates a clock at 0. */
export function createManualClock(): ManualClock {
  let now = 0;
  let waits: {readonly at: number; readonly resolve: () => void}[] = [];

  return {
    now: () => now,
    wait: duration =>
      new Promise(resolve => waits.push({at: now + duration, resolve})),
    advance: async duration => {
      const end = now + duration;
      for (;;) {
        await flushPromises();
        const due = Math.min(...waits.map(wait => wait.at));
        if (due > end) break;
        now = due;
        const ended = waits.filter(wait => wait.at <= now);
        waits = waits.filter(wait => wait.at > now);
        for (const wait of ended) wait.resolve();
      }
      now = end;
    },
  };
}
