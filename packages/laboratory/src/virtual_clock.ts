import type {Milliseconds, MonotonicInstant} from '@hibiscusbeam/core';
import TinyQueue from 'tinyqueue';

/** A clock that jumps from one event to the next. */
export interface VirtualClock {
  readonly now: () => MonotonicInstant;
  /** Runs `act` after `delay`; events of one instant run in their order. */
  readonly later: (delay: Milliseconds, act: () => void) => void;
  /** Runs events until `isDone`; false if none is left, or at `longest`. */
  readonly runUntil: (
    isDone: () => boolean,
    longest: MonotonicInstant,
  ) => boolean;
}

interface PlannedEvent {
  readonly at: MonotonicInstant;
  readonly order: number;
  readonly act: () => void;
}

/** Creates a clock that stands at 0. */
export function createVirtualClock(): VirtualClock {
  const events = new TinyQueue<PlannedEvent>(
    [],
    (one, other) => one.at - other.at || one.order - other.order,
  );
  let now: MonotonicInstant = 0;
  let planned = 0;
  return {
    now: () => now,
    later: (delay, act) => {
      planned += 1;
      events.push({at: now + Math.max(0, delay), order: planned, act});
    },
    runUntil: (isDone, longest) => {
      for (;;) {
        if (isDone()) return true;
        const next = events.pop();
        if (next === undefined || next.at > longest) return false;
        now = next.at;
        next.act();
      }
    },
  };
}
