import {afterEach, beforeEach, expect, test, vi} from 'vitest';
import {startSilenceWatch} from '../../packages/fleet/src/entry/silence_watch';

const LONGEST = 500;

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

function startWatch() {
  const seen: string[] = [];
  const watch = startSilenceWatch({
    longestSilence: LONGEST,
    now: () => Date.now(),
    onSilence: () => seen.push('silent'),
    onGoesOn: () => seen.push('goesOn'),
  });
  return {watch, seen};
}

function pass(duration: number): void {
  vi.advanceTimersByTime(duration);
}

test('a target that sends nothing is silent once', () => {
  const {seen} = startWatch();
  pass(LONGEST - 1);
  expect(seen).toEqual([]);
  pass(10 * LONGEST);
  expect(seen).toEqual(['silent']);
});

test('each byte starts the wait anew', () => {
  const {watch, seen} = startWatch();
  for (let count = 0; count < 5; count += 1) {
    pass(LONGEST - 1);
    watch.noteBytes();
  }
  expect(seen).toEqual([]);
});

test('a target that goes on can fall silent again', () => {
  const {watch, seen} = startWatch();
  pass(LONGEST + 1);
  watch.noteBytes();
  pass(LONGEST - 1);
  expect(seen).toEqual(['silent', 'goesOn']);
  pass(2);
  expect(seen).toEqual(['silent', 'goesOn', 'silent']);
});

test('no silence is counted while nothing is read', () => {
  const {watch, seen} = startWatch();
  pass(LONGEST - 1);
  watch.pause();
  pass(10 * LONGEST);
  watch.resume();
  pass(LONGEST - 1);
  expect(seen).toEqual([]);
  pass(2);
  expect(seen).toEqual(['silent']);
});

test('nothing is noticed after the end', () => {
  const {watch, seen} = startWatch();
  watch.stop();
  watch.resume();
  watch.noteBytes();
  pass(10 * LONGEST);
  expect(seen).toEqual([]);
});
