import {createAnswerTimes} from '@hibiscusbeam/core';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {propertyRuns} from '../forwarding/property_runs';

test('knows nothing of a service before its first answer', () => {
  const times = createAnswerTimes();
  times.record('engines', 130);
  expect(times.expected('other')).toBeUndefined();
});

// A burst fills the engines. Requests that wait for a place as if engines were
// idle get one too late, and all of their callers see a late first event.
test('follows engines that turn slow within some twenty answers', () => {
  const times = createAnswerTimes();
  for (let count = 0; count < 50; count += 1) times.record('engines', 130);
  expect(times.expected('engines')).toBeLessThan(140);
  for (let count = 0; count < 20; count += 1) times.record('engines', 300);
  expect(times.expected('engines')).toBeGreaterThan(270);
});

test('stays between the shortest time and a half more than the longest', () => {
  fc.assert(
    fc.property(
      fc.array(fc.integer({min: 1, max: 5_000}), {minLength: 1}),
      seen => {
        const times = createAnswerTimes();
        for (const time of seen) times.record('engines', time);
        const expected = times.expected('engines')!;
        expect(expected).toBeGreaterThanOrEqual(Math.min(...seen) - 1e-6);
        expect(expected).toBeLessThanOrEqual(1.5 * Math.max(...seen) + 1e-6);
      },
    ),
    propertyRuns,
  );
});
