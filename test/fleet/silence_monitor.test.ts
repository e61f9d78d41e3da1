import {afterEach, beforeEach, expect, test, vi} from 'vitest';
import {startSilenceMonitor} from '../../packages/fleet/src/entry/silence_monitor';

const MAX_SILENCE = 500;

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

function startMonitor() {
  const seen: string[] = [];
  const monitor = startSilenceMonitor({
    maxSilence: MAX_SILENCE,
    now: () => Date.now(),
    onSilence: () => seen.push('silent'),
    onResumed: () => seen.push('resumed'),
  });
  return {monitor, seen};
}

function advance(duration: number): void {
  vi.advanceTimersByTime(duration);
}

test('a target that sends nothing is silent once', () => {
  const {seen} = startMonitor();
  advance(MAX_SILENCE - 1);
  expect(seen).toEqual([]);
  advance(10 * MAX_SILENCE);
  expect(seen).toEqual(['silent']);
});

test('each byte restarts the timeout', () => {
  const {monitor, seen} = startMonitor();
  for (let count = 0; count < 5; count += 1) {
    advance(MAX_SILENCE - 1);
    monitor.recordBytes();
  }
  expect(seen).toEqual([]);
});

test('a target that resumes can fall silent again', () => {
  const {monitor, seen} = startMonitor();
  advance(MAX_SILENCE + 1);
  monitor.recordBytes();
  advance(MAX_SILENCE - 1);
  expect(seen).toEqual(['silent', 'resumed']);
  advance(2);
  expect(seen).toEqual(['silent', 'resumed', 'silent']);
});

test('no silence is counted while nothing is read', () => {
  const {monitor, seen} = startMonitor();
  advance(MAX_SILENCE - 1);
  monitor.pause();
  advance(10 * MAX_SILENCE);
  monitor.resume();
  advance(MAX_SILENCE - 1);
  expect(seen).toEqual([]);
  advance(2);
  expect(seen).toEqual(['silent']);
});

test('nothing is reported after the end', () => {
  const {monitor, seen} = startMonitor();
  monitor.stop();
  monitor.resume();
  monitor.recordBytes();
  advance(10 * MAX_SILENCE);
  expect(seen).toEqual([]);
});
