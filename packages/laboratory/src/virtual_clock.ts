import type {Milliseconds, MonotonicInstant} from '@hibiscusbeam/core';
import TinyQueue from 'tinyqueue';

/** A clock that jumps from one event to the next. */
export interface VirtualClock {
  readonly now: () => MonotonicInstant;
  /**
   * Runs `callback` after `delay`; simultaneous events run in scheduling order.
   */
  readonly schedule: (delay: Milliseconds, callback: () => void) => void;
  /** Runs events until `isDone`; false if none is left or after `maxTime`. */
  readonly runUntil: (
    isDone: () => boolean,
    maxTime: MonotonicInstant,
  ) => boolean;
}

interface ScheduledEvent {
  readonly at: MonotonicInstant;
  readonly order: number;
  readonly callback: () => void;
}

/** Creates a clock at 0. */
export function createVirtualClock(): VirtualClock {
  const events = new TinyQueue<ScheduledEvent>(
    [],
    (one, other) => one.at - other.at || one.order - other.order,
  );
  let now: MonotonicInstant = 0;
  let scheduledCount = 0;
  return {
    now: () => now,
    schedule: (delay, callback) => {
      scheduledCount += 1;
      events.push({
        at: now + Math.max(0, delay),
        order: scheduledCount,
        callback,
      });
    },
    runUntil: (isDone, maxTime) => {
      for (;;) {
        if (isDone()) return true;
        const next = events.pop();
        if (next === undefined || next.at > maxTime) return false;
        now = next.at;
        next.callback();
      }
    },
  };
}
