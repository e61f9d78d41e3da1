import {createFirstEventTimes} from '@hibiscusbeam/core';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {propertyRuns} from '../forwarding/property_runs';

test('returns undefined for a service without records', () => {
  const times = createFirstEventTimes();
  times.record('engines', 130, 0);
  expect(times.expected('other', 0)).toBeUndefined();
});

// A burst fills the engines. If idle engines were assumed, requests would wait
// too long for a slot and all of their first events would be late.
test('follows engines that become slow within twenty responses', () => {
  const times = createFirstEventTimes();
  for (let count = 0; count < 50; count += 1) times.record('engines', 130, 0);
  expect(times.expected('engines', 0)).toBeLessThan(140);
  for (let count = 0; count < 20; count += 1) times.record('engines', 300, 0);
  expect(times.expected('engines', 0)).toBeGreaterThan(270);
});

test('stays between the shortest time and 1.5 times the longest', () => {
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

// The largest prompts take 200 ms to read, the mean 50 ms. If they were placed
// like the others, all of them would be late.
test('adds the time of a request’s own prompt to the wait', () => {
  const times = createFirstEventTimes();
  for (let count = 0; count < 50; count += 1) times.record('engines', 150, 50);
  const small = times.expected('engines', 20)!;
  const large = times.expected('engines', 200)!;
  expect(large - small).toBeCloseTo(180);
  expect(small).toBeCloseTo(120, -1);
});
