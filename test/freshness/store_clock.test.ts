import {createConfirmation, createStoreClock} from '@hibiscusbeam/core';
import fc from 'fast-check';
import {expect, test} from 'vitest';

/** Questions with delays on both ways, in any order of their answers. */
const questions = fc.array(
  fc.record({
    askedAt: fc.nat({max: 10_000}),
    there: fc.nat({max: 2_000}),
    back: fc.nat({max: 2_000}),
  }),
  {minLength: 1, maxLength: 20},
);

// A long poll is answered after a short read that was asked later. Taken for a
// clock that went back, each answer would forget what the others have shown, and
// an entry would ask the store without a pause.
test('never claims a moment after the store looked, in any order of answers', () => {
  fc.assert(
    fc.property(questions, fc.integer({max: 1_000_000}), (asked, offset) => {
      const clock = createStoreClock();
      const answers = asked
        .map(({askedAt, there, back}) => ({
          askedAt,
          answeredAt: askedAt + there + back,
          storeTime: askedAt + there + offset,
        }))
        .sort((one, other) => one.answeredAt - other.answeredAt);
      let known = -Infinity;
      for (const answer of answers) {
        clock.record(answer);
        // What was known of the store's clock is not forgotten.
        expect(clock.localTimeLowerBound(0)).toBeGreaterThanOrEqual(known);
        known = clock.localTimeLowerBound(0)!;
        const lookedAt = answer.storeTime - offset;
        const claimed = clock.localTimeLowerBound(answer.storeTime)!;
        expect(claimed).toBeLessThanOrEqual(lookedAt);
        expect(claimed).toBeGreaterThanOrEqual(answer.askedAt);
      }
    }),
    {seed: 3},
  );
});

test('an anchor from before a restart of the store is given up', () => {
  const clock = createStoreClock();
  clock.record({askedAt: 1_000, answeredAt: 1_010, storeTime: 90_000});
  clock.record({askedAt: 2_000, answeredAt: 2_010, storeTime: 50});
  expect(clock.localTimeLowerBound(100)).toBe(2_050);
});

// A relay is frozen with an answer of the store in hand, and passes it on four
// seconds later. A key that was taken away meanwhile would count as confirmed.
test('an answer that a relay held up confirms no more than when it was given', () => {
  const confirmation = createConfirmation();
  confirmation.record({askedAt: 0, answeredAt: 4, storeTime: 5_000});
  confirmation.recordRelayed({receivedAt: 6_000, storeTime: 7_000});
  expect(confirmation.confirmedAt()).toBe(2_000);
});

test('a relay confirms nothing before an own exchange with the store', () => {
  const confirmation = createConfirmation();
  confirmation.recordRelayed({receivedAt: 6_000, storeTime: 7_000});
  expect(confirmation.confirmedAt()).toBeUndefined();
});
