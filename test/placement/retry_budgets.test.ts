import {createRetryBudgets} from '../../packages/fleet/src/entry/retry_budgets';
import {expect, test} from 'vitest';

// All entries of a site restart at the same time and don't know each other yet.
// If each of them used the site's whole slack, together they would retry more
// often than the site may.
test('allows no retries before the other entries are known, then its share', () => {
  const known: {entries: number | undefined} = {entries: undefined};
  const budgets = createRetryBudgets({
    share: 0.2,
    slack: 104,
    entries: () => known.entries,
  });
  budgets.recordFirstAttempt('engines');
  expect(budgets.takeRetry('engines')).toBe(false);
  known.entries = 8;
  let taken = 0;
  while (budgets.takeRetry('engines')) taken += 1;
  expect(taken).toBeGreaterThan(0);
  expect(taken * 8).toBeLessThanOrEqual(104);
});

test('the share of the slack shrinks as entries join', () => {
  let entries = 2;
  const budgets = createRetryBudgets({
    share: 0.2,
    slack: 100,
    entries: () => entries,
  });
  budgets.recordFirstAttempt('model');
  entries = 20;
  let taken = 0;
  while (budgets.takeRetry('model')) taken += 1;
  expect(taken * entries).toBeLessThanOrEqual(100);
});

/**
 * Budgets of one entry that have nothing left and earn one retry per five
 * requests.
 */
function exhaustedBudgets() {
  const budgets = createRetryBudgets({
    share: 0.34,
    slack: 10,
    entries: () => 1,
  });
  while (budgets.takeRetry('engines'));
  return budgets;
}

// The budget is used up for a short time. Without a second check, the request
// waits for its silent target until its deadline.
test('a denied retry is granted in turn once first requests allow it', async () => {
  const budgets = exhaustedBudgets();
  const {signal} = new AbortController();
  const granted: string[] = [];
  for (const name of ['one', 'other']) {
    void budgets.awaitRetry('engines', signal).then(() => granted.push(name));
  }
  const record = async (count: number) => {
    for (let done = 0; done < count; done += 1) {
      budgets.recordFirstAttempt('engines');
    }
    await Promise.resolve();
  };
  await record(4);
  expect(granted).toEqual([]);
  await record(1);
  expect(granted).toEqual(['one']);
  await record(5);
  expect(granted).toEqual(['one', 'other']);
});

test('a retry that is no longer wanted is not taken', async () => {
  const budgets = exhaustedBudgets();
  const withdrawal = new AbortController();
  const repeat = budgets.awaitRetry('engines', withdrawal.signal);
  withdrawal.abort();
  expect(await repeat).toBe(false);
  for (let done = 0; done < 5; done += 1) budgets.recordFirstAttempt('engines');
  expect(budgets.takeRetry('engines')).toBe(true);
});
