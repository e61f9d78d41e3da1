import {createRateLimits, type RateLimits} from '@hibiscusbeam/core';
import fc from 'fast-check';
import {expect, test} from 'vitest';

function startLimits() {
  let now = 0;
  const limits = createRateLimits(() => now);
  const answer = (rate: number | undefined, sentAt: number): boolean =>
    limits.recordAnswer({life: 'engine', rate, sentAt});
  return {
    limits,
    answer,
    at: (time: number) => (now = time),
    rate: () => limits.rateOf('engine'),
  };
}

test('a limit applies until the target responds without one', () => {
  const {answer, at, rate} = startLimits();
  at(10);
  expect(answer(2, 5)).toBe(true);
  expect(answer(2, 6)).toBe(false);
  at(20);
  expect(answer(undefined, 15)).toBe(true);
  expect(rate()).toBeUndefined();
});

test('a late response to a request sent before the limit does not end it', () => {
  const {answer, at, rate} = startLimits();
  at(10);
  answer(2, 5);
  at(20);
  expect(answer(undefined, 8)).toBe(false);
  expect(rate()).toBe(2);
});

test('an entry that has sent nothing learns the limit from another entry', () => {
  const here = startLimits();
  const there = startLimits();
  there.answer(3, 0);
  for (const record of there.limits.changedSince(0, 10).rows) {
    expect(here.limits.merge(record)).toBe(true);
    expect(here.limits.merge(record)).toBe(false);
  }
  expect(here.rate()).toBe(3);
});

test('entries that relay limits in any order converge and then stop relaying', () => {
  const change = fc.record({
    entry: fc.nat({max: 2}),
    rate: fc.option(fc.nat({max: 3}), {nil: undefined}),
    next: fc.nat({max: 2}),
  });
  fc.assert(
    fc.property(fc.array(change, {maxLength: 20}), changes => {
      const entries = [startLimits(), startLimits(), startLimits()];
      changes.forEach(({entry, rate, next}, step) => {
        entries.forEach(({at}) => at(step + 1));
        entries[entry]!.answer(rate, step + 1);
        exchange(entries[entry]!.limits, entries[next]!.limits);
      });
      for (let round = 0; round < 3; round += 1) exchangeAll(entries);
      expect(new Set(entries.map(({rate}) => rate())).size).toBe(1);
      expect(exchangeAll(entries)).toBe(false);
    }),
    {seed: 41, numRuns: 300},
  );
});

function exchange(from: RateLimits, to: RateLimits): boolean {
  return from.changedSince(0, 10).rows.map(to.merge).includes(true);
}

function exchangeAll(entries: readonly {readonly limits: RateLimits}[]) {
  return entries
    .flatMap(one => entries.map(other => exchange(one.limits, other.limits)))
    .includes(true);
}
