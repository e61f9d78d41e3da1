import {
  createStoreAvailability,
  evaluateReading,
  type StoreCallOutcome,
} from '@hibiscusbeam/core';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {propertyRuns} from '../forwarding/property_runs';

const signs = fc.constantFrom<StoreCallOutcome>(
  'answered',
  'turnedAway',
  'silent',
  'underWay',
  'notReached',
);

test('a late reading is acted on only while the store was seen not to serve', () => {
  fc.assert(
    fc.property(
      fc.array(fc.record({askedAt: fc.nat(20), sign: signs}), {maxLength: 20}),
      fc.nat(20),
      fc.nat(40),
      fc.integer({min: 1, max: 30}),
      (questions, readAt, age, bound) => {
        const availability = createStoreAvailability();
        for (const {askedAt, sign} of questions) {
          availability.record(askedAt, sign);
        }
        const newest = Math.max(...questions.map(({askedAt}) => askedAt));
        const last = questions.findLast(({askedAt}) => askedAt === newest);
        const isAway =
          newest >= readAt &&
          (last?.sign === 'turnedAway' || last?.sign === 'silent');
        const isStoreUnavailable = availability.isUnavailableSince(readAt);
        const use = evaluateReading({age, bound, isStoreUnavailable});
        if (age < bound) expect(use).toBe('current');
        else expect(use).toBe(isAway ? 'lastKnown' : 'outdated');
      },
    ),
    propertyRuns,
  );
});

test('a question answered late does not overrule a newer one', () => {
  const availability = createStoreAvailability();
  availability.record(2_000, 'silent');
  availability.record(1_000, 'answered');
  expect(availability.isUnavailableSince(0)).toBe(true);
});

test('what was seen before a reading says nothing of the time after it', () => {
  const availability = createStoreAvailability();
  availability.record(1_000, 'silent');
  expect(availability.isUnavailableSince(1_000)).toBe(true);
  expect(availability.isUnavailableSince(1_001)).toBe(false);
});
