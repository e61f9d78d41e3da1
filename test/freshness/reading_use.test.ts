import {
  createStoreContact,
  judgeReading,
  type StoreSign,
} from '@hibiscusbeam/core';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {propertyRuns} from '../forwarding/property_runs';

const signs = fc.constantFrom<StoreSign>(
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
        const contact = createStoreContact();
        for (const {askedAt, sign} of questions) contact.note(askedAt, sign);
        const newest = Math.max(...questions.map(({askedAt}) => askedAt));
        const last = questions.findLast(({askedAt}) => askedAt === newest);
        const isAway =
          newest >= readAt &&
          (last?.sign === 'turnedAway' || last?.sign === 'silent');
        const isStoreAway = contact.isAwaySince(readAt);
        const use = judgeReading({age, bound, isStoreAway});
        if (age < bound) expect(use).toBe('current');
        else expect(use).toBe(isAway ? 'lastKnown' : 'outdated');
      },
    ),
    propertyRuns,
  );
});

test('a question answered late does not overrule a newer one', () => {
  const contact = createStoreContact();
  contact.note(2_000, 'silent');
  contact.note(1_000, 'answered');
  expect(contact.isAwaySince(0)).toBe(true);
});

test('what was seen before a reading says nothing of the time after it', () => {
  const contact = createStoreContact();
  contact.note(1_000, 'silent');
  expect(contact.isAwaySince(1_000)).toBe(true);
  expect(contact.isAwaySince(1_001)).toBe(false);
});
