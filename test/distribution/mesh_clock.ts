import {hash32} from '@hibiscusbeam/core';

/**
 * Simulated time and randomness of a mesh: an event queue and a seeded random
 * number generator.
 */
export interface MeshClock {
  readonly now: () => number;
  /** Returns a random integer from 0 to `range`, exclusive. */
  readonly randomBelow: (range: number) => number;
  readonly schedule: (delay: number, run: () => void) => void;
  /**
   * Runs events until `isDone`; returns false if no event is left or the time
   * `longest` is reached.
   */
  readonly runUntil: (isDone: () => boolean, longest: number) => boolean;
}

/**
 * Creates a clock that starts at 0. Its random numbers depend on `seed` alone.
 */
export function createMeshClock(seed: number): MeshClock {
  const queue: {at: number; order: number; run: () => void}[] = [];
  let now = 0;
  let order = 0;
  let randomCount = 0;
  return {
    now: () => now,
    randomBelow(range) {
      randomCount += 1;
      return hash32(`${seed}:${randomCount}`) % range;
    },
    schedule(delay, run) {
      order += 1;
      queue.push({at: now + delay, order, run});
    },
    runUntil(isDone, longest) {
      while (now < longest) {
        queue.sort((one, two) => two.at - one.at || two.order - one.order);
        const next = queue.pop();
        if (next === undefined) return isDone();
        now = next.at;
        next.run();
        if (isDone()) return true;
      }
      return false;
    },
  };
}
