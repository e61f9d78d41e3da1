import {retryDelay, type RetryDelayRequest} from '@hibiscusbeam/core';
import fc from 'fast-check';
import {expect, test} from 'vitest';

function request(changes: Partial<RetryDelayRequest> = {}): RetryDelayRequest {
  const shares = [0, 1, 2].map(priority => ({priority, share: 0.5}));
  return {
    objective: 400,
    timeLeft: 30_000,
    priority: 0,
    spread: 0.5,
    pressure: {
      level: {shares, demand: 150, capacity: 100},
      overloadedFor: 2_000,
      capacityIn: 0,
    },
    minDelay: 0,
    ...changes,
  };
}

test('callers never wait longer than a third of their time left', () => {
  const anyRequest = fc.record({
    objective: fc.integer({min: 1, max: 5_000}),
    timeLeft: fc.integer({min: -100, max: 20_000}),
    priority: fc.integer({min: -1, max: 9}),
    spread: fc.double({min: 0, max: 1, noNaN: true}),
    least: fc.integer({min: 0, max: 5_000}),
  });
  fc.assert(
    fc.property(anyRequest, changes => {
      const delay = retryDelay(request(changes));
      expect(delay).toBeGreaterThanOrEqual(0);
      expect(delay).toBeLessThanOrEqual(Math.max(0, changes.timeLeft) / 3);
    }),
    {seed: 14},
  );
});

test('refused callers do not all retry at once, even if their time is short', () => {
  for (const timeLeft of [30_000, 3_000]) {
    const [first, last] = [0, 1].map(spread =>
      retryDelay(request({timeLeft, spread})),
    );
    expect(last! - first!).toBeGreaterThan(timeLeft > 3_000 ? 1_000 : 400);
  }
});

test('urgent requests are retried earlier, but not before two and a half objectives', () => {
  const delays = [0, 1, 2].map(priority => retryDelay(request({priority})));
  expect(delays).toEqual([...delays].sort((one, other) => one - other));
  expect(new Set(delays).size).toBe(3);
  expect(retryDelay(request({spread: 0}))).toBe(1_000);
});

test('the delay covers the backlog and the time until engines have loaded', () => {
  const {pressure} = request();
  const longer = {...pressure!, overloadedFor: 4_000};
  const lately = {...pressure!, overloadedFor: 0};
  expect(retryDelay(request({pressure: longer}))).toBeGreaterThan(
    retryDelay(request({pressure: lately})),
  );
  const loading = {...lately, capacityIn: 2_200};
  expect(
    retryDelay(request({pressure: loading, spread: 0})),
  ).toBeGreaterThanOrEqual(2_200);
});
