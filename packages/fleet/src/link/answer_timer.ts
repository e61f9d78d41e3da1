import type {Milliseconds} from '@hibiscusbeam/core';

/** The end of the time, in which what has come is surely read. */
const LAST_STEP: Milliseconds = 100;

/** The time that an answer may take. */
export interface AnswerTimer {
  readonly stop: () => void;
}

/**
 * Starts the time for an answer.
 *
 * Failure: this process stands still, and timers run before what has come
 * meanwhile is read. An answer that is there counts as missing, and what goes with
 * it is given up. Guard: a standstill costs the first step only; answers are read
 * before the last one has passed.
 */
export function startAnswerTimer(
  time: Milliseconds,
  onExpired: () => void,
): AnswerTimer {
  const lastStep = Math.min(LAST_STEP, time / 2);
  let timer = setTimeout(() => {
    timer = setTimeout(onExpired, lastStep);
  }, time - lastStep);
  return {stop: () => clearTimeout(timer)};
}
