import {createMachineClock} from '../../packages/fleet/src/runtime/clock';
import {expect, test} from 'vitest';

function startClock() {
  let steady = 0;
  let timeOfDay = 1_000_000;
  const clock = createMachineClock({
    steady: () => steady,
    timeOfDay: () => timeOfDay,
  });
  return {
    clock,
    pass: (duration: number) => {
      steady += duration;
      timeOfDay += duration;
    },
    setTimeOfDay: (change: number) => (timeOfDay += change),
  };
}

// A machine is suspended for 6 s, which its monotonic clock does not include.
// Without this, a key that was revoked meanwhile would be accepted for 5 s
// more.
test('includes a suspension that the monotonic clock leaves out', () => {
  const {clock, pass, setTimeOfDay} = startClock();
  pass(100);
  const before = clock();
  setTimeOfDay(6_000);
  pass(10);
  expect(clock() - before).toBe(6_010);
});

test('never goes back when the time of day is set back', () => {
  const {clock, pass, setTimeOfDay} = startClock();
  pass(100);
  const before = clock();
  setTimeOfDay(-2_400);
  pass(10);
  expect(clock() - before).toBe(10);
});

test('ignores a small drift between the clocks', () => {
  const {clock, pass, setTimeOfDay} = startClock();
  for (let count = 0; count < 100; count += 1) {
    pass(10);
    setTimeOfDay(1);
    clock();
  }
  expect(clock()).toBe(1_000);
});
