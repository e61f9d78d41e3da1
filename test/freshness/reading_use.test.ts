import {
  createStoreAvailability,
  evaluateReading,
  type StoreCallOutcome,
} from '@hibiscusbeam/core';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {propertyRuns} from '../forwarding/property_runs';

const outcomes = fc.constantFrom<StoreCallOutcome>(
  'answered',
  'turnedAway',
  'silent',
  'underWay',
  'notReached',
);

test('a late reading is used only while the store is known to be unavailable', () => {
  fc.assert(
    fc.property(
      fc.array(fc.record({at: fc.nat(20), outcome: outcomes}), {
        maxLength: 20,
      }),
      fc.nat(20),
      fc.nat(40),
      fc.integer({min: 1, max: 30}),
      (requests, readAt, age, bound) => {
        const availability = createStoreAvailability();
        for (const {at, outcome} of requests) availability.record(at, outcome);
        const newest = Math.max(...requests.map(({at}) => at));
        const last = requests.findLast(({at}) => at === newest);
        const isExpectedUnavailable =
          newest >= readAt &&
          (last?.outcome === 'turnedAway' || last?.outcome === 'silent');
        const isStoreUnavailable = availability.isUnavailableSince(readAt);
        const use = evaluateReading({age, bound, isStoreUnavailable});
        if (age < bound) expect(use).toBe('current');
        else expect(use).toBe(isExpectedUnavailable ? 'lastKnown' : 'outdated');
      },
    ),
    propertyRuns,
  );
});

test('a late answer does not override a newer outcome', () => {
  const availability = createStoreAvailability();
  availability.record(2_000, 'silent');
  availability.record(1_000, 'answered');
  expect(availability.isUnavailableSince(0)).toBe(true);
});

test('an outcome from before a reading does not make the store unavailable after it', () => {
  const availability = createStoreAvailability();
  availability.record(1_000, 'silent');
  expect(availability.isUnavailableSince(1_000)).toBe(true);
  expect(availability.isUnavailableSince(1_001)).toBe(false);
});
