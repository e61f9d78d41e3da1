import {createEntryStates} from '@hibiscusbeam/core';
import {expect, test} from 'vitest';

const members = [
  {instance: 'one', life: 'one-1'},
  {instance: 'two', life: 'two-1'},
];

test('the newest state of an entry is used, whoever relays it', () => {
  const states = createEntryStates();
  states.setMembers(members, 0);
  expect(states.record({instance: 'one', ready: false, observedAt: 200})).toBe(
    true,
  );
  expect(states.record({instance: 'one', ready: true, observedAt: 100})).toBe(
    false,
  );
  expect(states.isUsable('one', 300)).toBe(false);
  expect(states.record({instance: 'one', ready: true, observedAt: 300})).toBe(
    true,
  );
  expect(states.isUsable('one', 300)).toBe(true);
});

// A zone loses all of its relays at once. The last states of its entries must
// not be relayed permanently, or callers would be sent to lost machines.
test('an entry without recent reports is not usable', () => {
  const states = createEntryStates();
  states.setMembers(members, 0);
  states.record({instance: 'one', ready: true, observedAt: 1_000});
  expect(states.isUsable('one', 5_999)).toBe(true);
  expect(states.isUsable('one', 6_000)).toBe(false);
  expect(states.recentStates(6_000)).toEqual([]);
});

test('a new member counts as ready until its first report is due', () => {
  const states = createEntryStates();
  states.setMembers(members, 0);
  expect(states.isUsable('two', 2_499)).toBe(true);
  expect(states.isUsable('two', 2_500)).toBe(false);
});

// An entry is killed and restarts. What is known of its previous incarnation
// does not apply to the new one.
test('a new incarnation has no known state', () => {
  const states = createEntryStates();
  states.setMembers(members, 0);
  states.record({instance: 'one', ready: false, observedAt: 1_000});
  states.setMembers([{instance: 'one', life: 'one-2'}], 2_000);
  expect(states.isUsable('one', 2_100)).toBe(true);
  expect(states.isUsable('two', 2_100)).toBe(false);
});
