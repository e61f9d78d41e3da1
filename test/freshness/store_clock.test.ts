import {createConfirmation, createStoreClock} from '@hibiscusbeam/core';
import fc from 'fast-check';
import {expect, test} from 'vitest';

/** Requests with delays in both directions, answered in any order. */
const requests = fc.array(
  fc.record({
    askedAt: fc.nat({max: 10_000}),
    outbound: fc.nat({max: 2_000}),
    inbound: fc.nat({max: 2_000}),
  }),
  {minLength: 1, maxLength: 20},
);

// A long poll is answered after a short read that was sent later. If this were
// taken for a clock that went back, each answer would discard what the others
// have shown, and an entry would query the store without a pause.
test('never yields a time after the read by the store, in any order of answers', () => {
  fc.assert(
    fc.property(requests, fc.integer({max: 1_000_000}), (sent, offset) => {
      const clock = createStoreClock();
      const answers = sent
        .map(({askedAt, outbound, inbound}) => ({
          askedAt,
          answeredAt: askedAt + outbound + inbound,
          storeTime: askedAt + outbound + offset,
        }))
        .sort((one, other) => one.answeredAt - other.answeredAt);
      let known = -Infinity;
      for (const answer of answers) {
        clock.record(answer);
        // What is known of the store's clock is not discarded.
        expect(clock.localTimeLowerBound(0)).toBeGreaterThanOrEqual(known);
        known = clock.localTimeLowerBound(0)!;
        const readAt = answer.storeTime - offset;
        const claimed = clock.localTimeLowerBound(answer.storeTime)!;
        expect(claimed).toBeLessThanOrEqual(readAt);
        expect(claimed).toBeGreaterThanOrEqual(answer.askedAt);
      }
    }),
    {seed: 3},
  );
});

test('an offset from before a restart of the store is discarded', () => {
  const clock = createStoreClock();
  clock.record({askedAt: 1_000, answeredAt: 1_010, storeTime: 90_000});
  clock.record({askedAt: 2_000, answeredAt: 2_010, storeTime: 50});
  expect(clock.localTimeLowerBound(100)).toBe(2_050);
});

// A relay freezes after it received an answer of the store, and relays it four
// seconds later. A key that was revoked meanwhile would count as confirmed.
test('an answer delayed by a relay confirms only the time at which the store gave it', () => {
  const confirmation = createConfirmation();
  confirmation.record({askedAt: 0, answeredAt: 4, storeTime: 5_000});
  confirmation.recordRelayed({receivedAt: 6_000, storeTime: 7_000});
  expect(confirmation.confirmedAt()).toBe(2_000);
});

test('a relayed answer confirms nothing before an own exchange with the store', () => {
  const confirmation = createConfirmation();
  confirmation.recordRelayed({receivedAt: 6_000, storeTime: 7_000});
  expect(confirmation.confirmedAt()).toBeUndefined();
});
