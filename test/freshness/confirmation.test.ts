import {createConfirmation} from '@hibiscusbeam/core';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {propertyRuns} from '../forwarding/property_runs';

/**
 * Actual timing of one request: pause before it, transit, wait at the store,
 * transit back.
 */
const exchanges = fc.array(
  fc.record({
    pause: fc.integer({min: 0, max: 2_000}),
    transit: fc.integer({min: 0, max: 500}),
    wait: fc.integer({min: 0, max: 2_000}),
    transitBack: fc.integer({min: 0, max: 5_000}),
  }),
  {minLength: 1, maxLength: 12},
);

test('never confirms a time after the last read by the store', () => {
  fc.assert(
    fc.property(
      exchanges,
      fc.integer({min: -10_000, max: 10_000}),
      (timings, storeOffset) => {
        const confirmation = createConfirmation();
        let now = 0;
        let latestReadAt = -Infinity;
        for (const {pause, transit, wait, transitBack} of timings) {
          const askedAt = now + pause;
          const readAt = askedAt + transit + wait;
          latestReadAt = Math.max(latestReadAt, readAt);
          now = readAt + transitBack;
          confirmation.record({
            askedAt,
            answeredAt: now,
            storeTime: readAt + storeOffset,
          });
          expect(confirmation.confirmedAt()).toBeLessThanOrEqual(latestReadAt);
        }
      },
    ),
    propertyRuns,
  );
});

// A request waits 1.5 s for a change, and a bad link delays its answer by 4 s.
// The configuration is 4 s old when it arrives, and must be treated so.
test('a delayed answer is as old as the read by the store', () => {
  const confirmation = createConfirmation();
  confirmation.record({askedAt: 0, answeredAt: 4, storeTime: 102});
  confirmation.record({askedAt: 10, answeredAt: 5_510, storeTime: 1_612});
  expect(confirmation.confirmedAt()).toBe(1_510);
  expect(confirmation.isFresh(5_510, 4_700)).toBe(true);
  expect(confirmation.isFresh(6_300, 4_700)).toBe(false);
});

test('an offset to the store clock from before its restart is not used', () => {
  const confirmation = createConfirmation();
  confirmation.record({askedAt: 0, answeredAt: 10, storeTime: 900_000});
  confirmation.record({askedAt: 2_000, answeredAt: 9_000, storeTime: 5});
  expect(confirmation.confirmedAt()).toBe(2_000);
});
