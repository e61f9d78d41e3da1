import {createFirstEventTimes} from '@hibiscusbeam/core';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {propertyRuns} from '../forwarding/property_runs';

test('knows nothing of a service before its first answer', () => {
  const times = createFirstEventTimes();
  times.record('engines', 130, 0);
  expect(times.expected('other', 0)).toBeUndefined();
});

// A burst fills the engines. Requests that wait for a place as if engines were
// idle get one too late, and all of their callers see a late first event.
test('follows engines that turn slow within some twenty answers', () => {
  const times = createFirstEventTimes();
  for (let count = 0; count < 50; count += 1) times.record('engines', 130, 0);
  expect(times.expected('engines', 0)).toBeLessThan(140);
  for (let count = 0; count < 20; count += 1) times.record('engines', 300, 0);
  expect(times.expected('engines', 0)).toBeGreaterThan(270);
});

test('stays between the shortest time and a half more than the longest', () => {
  fc.assert(
    fc.property(
      fc.array(fc.integer({min: 1, max: 5_000}), {minLength: 1}),
      seen => {
        const times = createFirstEventTimes();
        for (const time of seen) times.record('engines', time, 0);
        const expected = times.expected('engines', 0)!;
        expect(expected).toBeGreaterThanOrEqual(Math.min(...seen) - 1e-6);
        expect(expected).toBeLessThanOrEqual(1.5 * Math.max(...seen) + 1e-6);
      },
    ),
    propertyRuns,
  );
});

// The largest prompts take 200 ms to read where the mean takes 50. Placed as if
// they were like the others, all of them are late.
test('allows for a request’s own prompt beside what it waits', () => {
  const times = createFirstEventTimes();
  for (let count = 0; count < 50; count += 1) times.record('engines', 150, 50);
  const small = times.expected('engines', 20)!;
  const large = times.expected('engines', 200)!;
  expect(large - small).toBeCloseTo(180);
  expect(small).toBeCloseTo(120, -1);
});
