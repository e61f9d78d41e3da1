import type {Milliseconds, MonotonicInstant} from '@hibiscusbeam/core';
import {monotonicClock, type Clock} from '@hibiscusbeam/daemon';

/**
 * Minimum jump of the wall clock relative to the monotonic clock that counts as
 * a suspension. Synchronized clocks drift by far less between two reads.
 */
const MIN_SUSPENSION: Milliseconds = 100;

/** Period in which the clocks are compared even if nothing reads them. */
const COMPARE_PERIOD: Milliseconds = 200;

/** Clocks on which the machine's clock is based. */
export interface ClockInputs {
  readonly steady: () => MonotonicInstant;
  readonly timeOfDay: () => Milliseconds;
}

/**
 * Creates a clock that never goes back and includes suspensions of the machine.
 *
 * The monotonic clock stops while a machine is suspended. What was confirmed
 * before a suspension would seem fresh after it, and a key that was revoked
 * meanwhile would still be accepted. The wall clock includes the suspension, so
 * a jump ahead of the monotonic clock is added. A wall clock that was merely
 * set ahead makes data seem older than it is, which is the safe side.
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
 * Starts the clock of this machine. `onDelay` is called with the current delay
 * of the event loop.
 */
export function startMachineClock(
  onDelay: (delay: Milliseconds) => void = () => undefined,
): Clock {
  const clock = createMachineClock({
    steady: monotonicClock,
    timeOfDay: () => Date.now(),
  });
  // Without regular comparisons, a clock set back and a suspension within the
  // same gap would cancel each other out.
  let dueAt = monotonicClock() + COMPARE_PERIOD;
  setInterval(() => {
    clock();
    const now = monotonicClock();
    onDelay(Math.max(0, now - dueAt));
    dueAt = now + COMPARE_PERIOD;
  }, COMPARE_PERIOD).unref();
  return clock;
}
