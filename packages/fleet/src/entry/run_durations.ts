import type {Milliseconds, MonotonicInstant} from '@hibiscusbeam/core';
import type {Clock} from '@hibiscusbeam/daemon';

/** Longest durations of recent requests, by route. */
export interface RunDurations {
  readonly record: (route: string, took: Milliseconds) => void;
  /** Undefined if no request of the route has ended recently. */
  readonly longest: (route: string) => Milliseconds | undefined;
}

/** Durations are remembered for one to two of these. */
const WINDOW: Milliseconds = 30_000;

interface Window {
  readonly since: MonotonicInstant;
  readonly longest: ReadonlyMap<string, Milliseconds>;
}

/** Creates the record of durations. */
export function createRunDurations(clock: Clock): RunDurations {
  let current: Window = {since: clock(), longest: new Map()};
  let previous: Window = current;

  function rotate(): void {
    const now = clock();
    const age = now - current.since;
    if (age < WINDOW) return;
    const next = {since: now, longest: new Map<string, Milliseconds>()};
    previous = age < 2 * WINDOW ? current : next;
    current = next;
  }

  return {
    record: (route, took) => {
      rotate();
      const longest = Math.max(took, current.longest.get(route) ?? 0);
      current = {
        ...current,
        longest: new Map([...current.longest, [route, longest]]),
      };
    },
    longest: route => {
      rotate();
      const seen = [current, previous].flatMap(
        window => window.longest.get(route) ?? [],
      );
      return seen.length === 0 ? undefined : Math.max(...seen);
    },
  };
}
