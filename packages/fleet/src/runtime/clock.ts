import type {Milliseconds, MonotonicInstant} from '@hibiscusbeam/core';
import {monotonicClock, type Clock} from '@hibiscusbeam/daemon';

/**
 * Least jump of the time of day against the steady clock that counts as a
 * suspension. Clocks that are set right drift far below it between two reads.
 */
const MIN_SUSPENSION: Milliseconds = 100;

/** Period in which the clocks are compared while nobody asks. */
const COMPARE_PERIOD: Milliseconds = 200;

/** Where a machine's clock takes its time from. */
export interface ClockInputs {
  readonly steady: () => MonotonicInstant;
  readonly timeOfDay: () => Milliseconds;
}

/**
 * Creates a clock that never goes back and counts suspensions of the machine.
 *
 * Failure: the steady clock stands still while a machine is suspended. What was
 * confirmed before a suspension would seem fresh after it, and a key that was
 * taken away meanwhile would still be served. The time of day does count it: a
 * jump ahead of the steady clock is added here. A time of day that was merely
 * set ahead makes what is held seem older than it is, which is the safe side.
 */
export function createMachineClock(inputs: ClockInputs): Clock {
  let suspended: Milliseconds = 0;
  let lastOffset = inputs.timeOfDay() - inputs.steady();
  return () => {
    const now = inputs.steady();
    const offset = inputs.timeOfDay() - now;
    const jump = offset - lastOffset;
    if (jump >= MIN_SUSPENSION) suspended += jump;
    lastOffset = offset;
    return now + suspended;
  };
}

/**
 * The clock of the machine on which this process runs; `onDelay` is told how late
 * the loop of the process runs.
 */
export function startMachineClock(
  onDelay: (delay: Milliseconds) => void = () => undefined,
): Clock {
  const clock = createMachineClock({
    steady: monotonicClock,
    timeOfDay: () => Date.now(),
  });
  // Without regular looks, a clock set back and a suspension that follows
  // within the same gap would hide each other.
  let dueAt = monotonicClock() + COMPARE_PERIOD;
  setInterval(() => {
    clock();
    const now = monotonicClock();
    onDelay(Math.max(0, now - dueAt));
    dueAt = now + COMPARE_PERIOD;
  }, COMPARE_PERIOD).unref();
  return clock;
}
