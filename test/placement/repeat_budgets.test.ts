import {createRepeatBudgets} from '../../packages/fleet/src/entry/repeat_budgets';
import {expect, test} from 'vitest';

// All entries of a site start anew at the same time. Each knows no other one
// yet, takes the site's whole slack for its own, and together they send more
// repeats than the site may.
test('repeats nothing before the other entries are known, then its part', () => {
  const known: {entries: number | undefined} = {entries: undefined};
  const budgets = createRepeatBudgets({
    share: 0.2,
    slack: 104,
    entries: () => known.entries,
  });
  budgets.recordFirst('engines');
  expect(budgets.takeRepeat('engines')).toBe(false);
  known.entries = 8;
  let taken = 0;
  while (budgets.takeRepeat('engines')) taken += 1;
  expect(taken).toBeGreaterThan(0);
  expect(taken * 8).toBeLessThanOrEqual(104);
});

test('the part of the slack shrinks as entries join', () => {
  let entries = 2;
  const budgets = createRepeatBudgets({
    share: 0.2,
    slack: 100,
    entries: () => entries,
  });
  budgets.recordFirst('model');
  entries = 20;
  let taken = 0;
  while (budgets.takeRepeat('model')) taken += 1;
  expect(taken * entries).toBeLessThanOrEqual(100);
});
