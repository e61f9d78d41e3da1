import {expect, test} from 'vitest';
import {createStallMonitor} from '../../packages/fleet/src/runtime/stall_monitor';

function startMonitor() {
  let now = 0;
  const monitor = createStallMonitor(() => now);
  const runAfter = (duration: number): void => {
    now += duration;
    monitor.record();
  };
  const pass = (duration: number): void => void (now += duration);
  return {...monitor, runAfter, pass};
}

test('an event loop that runs in time has not stalled', () => {
  const {runAfter, pass, hasStalled} = startMonitor();
  for (let turn = 0; turn < 10; turn += 1) {
    runAfter(200);
    expect(hasStalled()).toBe(false);
  }
  pass(300);
  expect(hasStalled()).toBe(false);
});

test('a stall is known before and for a while after the event loop runs', () => {
  const {runAfter, pass, hasStalled} = startMonitor();
  pass(500);
  expect(hasStalled()).toBe(true);
  runAfter(0);
  runAfter(200);
  expect(hasStalled()).toBe(true);
  for (let turn = 0; turn < 5; turn += 1) runAfter(200);
  expect(hasStalled()).toBe(false);
});
