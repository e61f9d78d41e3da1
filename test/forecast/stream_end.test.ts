import {
  createEventPauses,
  createStreamLengths,
  timeSavedByMove,
} from '@hibiscusbeam/core';
import {expect, test} from 'vitest';

const REMAINING = {events: 20, typicalPause: 50, timeLeft: 2_000};

// An engine is frozen for a second and then continues as before. Its streams
// end in time, and moving all of them would use up the site's retries.
test('a single long pause doesn’t make a stream late', () => {
  const pauses = createEventPauses();
  [0, 50, 100, 150, 1_150, 1_200].forEach(pauses.record);
  expect(pauses.median()).toBe(50);
  expect(timeSavedByMove({...REMAINING, pause: 50})).toBeUndefined();
});

test('no stream is evaluated by fewer than three pauses', () => {
  const pauses = createEventPauses();
  [0, 250, 500].forEach(pauses.record);
  expect(pauses.median()).toBeUndefined();
  pauses.record(750);
  expect(timeSavedByMove({...REMAINING, pause: pauses.median() ?? 0})).toBe(
    4_000,
  );
});

// A hint counts tokens and may be wrong; an engine's events contain several.
test('lengths follow complete streams, with and without a hint', () => {
  const lengths = createStreamLengths();
  expect(lengths.remaining('route', 1, 100)).toBeUndefined();
  for (let count = 0; count < 5; count += 1) lengths.record('route', 20, 100);
  expect(lengths.remaining('route', 5, 100)).toBeCloseTo(15);
  expect(lengths.remaining('route', 5, 200)).toBeCloseTo(35);
  expect(lengths.remaining('route', 5, 0)).toBeCloseTo(15);
  expect(lengths.remaining('route', 30, 0)).toBeGreaterThan(0);
});
