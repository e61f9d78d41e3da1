import type {Milliseconds} from '@hibiscusbeam/core';

/** Steps in which the time for an answer passes. */
const STEPS = 2;

/** The time that an answer may take. */
export interface AnswerTimer {
  readonly stop: () => void;
}

/**
 * Starts the time for an answer.
 *
 * Failure: this process stands still, and timers run before what has come
 * meanwhile is read. An answer that is there counts as missing, and what goes with
 * it is given up. Guard: a standstill costs one step; answers are read before the
 * next.
 */
export function startAnswerTimer(
  time: Milliseconds,
  onExpired: () => void,
): AnswerTimer {
  let stepsLeft = STEPS;

  function step(): void {
    if (stepsLeft === 0) return onExpired();
    stepsLeft -= 1;
    timer = setTimeout(step, time / STEPS);
  }

  let timer: NodeJS.Timeout | undefined;
  step();
  return {stop: () => clearTimeout(timer)};
}
