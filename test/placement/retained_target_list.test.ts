import {createRetainedTargetList, type ListedTarget} from '@hibiscusbeam/core';
import {expect, test} from 'vitest';
import {plainTarget} from '../fixtures/placement';

const options = {heartbeat: 1_200, recoveryTime: 2_000};

const target = (instance: string, changes: Partial<ListedTarget> = {}) =>
  plainTarget(instance, {slots: 1, ...changes});

// The store is unavailable for longer than targets can go without renewing
// their rows. All rows expire and come back within two seconds of its return.
test('missing rows count for a while after a store outage', () => {
  const list = createRetainedTargetList(options);
  list.update([target('one'), target('two')], 0);
  list.recordFailure(500);
  expect(list.update([target('two')], 5_000)).toHaveLength(2);
  expect(list.update([target('two')], 6_900)).toHaveLength(2);
  expect(list.update([target('two')], 7_000)).toHaveLength(1);
});

test('a row that disappears without an outage is removed at once', () => {
  const list = createRetainedTargetList(options);
  list.update([target('one')], 0);
  expect(list.update([], 500)).toEqual([]);
});

// The store rejects an entry for a while. After the store's return the entry
// reads an engine's row, and then the engine leaves. If its row were retained
// like those that have not come back, the engine would be sent requests for two
// more seconds.
test('a row that came back and disappears again is removed at once', () => {
  const list = createRetainedTargetList(options);
  list.update([target('one'), target('two')], 0);
  list.recordFailure(500);
  expect(list.update([target('one')], 5_000)).toHaveLength(2);
  expect(list.update([], 5_400)).toEqual([target('two')]);
  expect(list.update([], 7_000)).toEqual([]);
});

test('a row that came back after one outage is retained in the next', () => {
  const list = createRetainedTargetList(options);
  list.update([target('one')], 0);
  list.recordFailure(500);
  list.update([target('one')], 5_000);
  list.recordFailure(5_400);
  expect(list.update([], 8_000)).toEqual([target('one')]);
});

test('a single failed read retains no rows', () => {
  const list = createRetainedTargetList(options);
  list.update([target('one')], 0);
  list.recordFailure(500);
  expect(list.update([], 1_000)).toEqual([]);
});

test('a leaving target stays leaving while its row is missing', () => {
  const list = createRetainedTargetList(options);
  list.update([target('one', {leaving: true})], 0);
  list.recordFailure(500);
  expect(list.update([], 5_000)).toMatchObject([{leaving: true}]);
});

test('another incarnation at the same address replaces the previous one', () => {
  const list = createRetainedTargetList(options);
  list.update([target('one')], 0);
  list.recordFailure(500);
  const next = target('next', {address: 'one:1'});
  expect(list.update([next], 5_000)).toEqual([next]);
});

test('rows lost by a restore of the store count until their targets are back', () => {
  const list = createRetainedTargetList(options);
  list.update([target('one'), target('two')], 0);
  list.recordRestore(100);
  expect(list.update([target('one')], 100)).toHaveLength(2);
  expect(list.update([target('one')], 2_099)).toHaveLength(2);
  expect(list.update([target('one')], 2_100)).toEqual([target('one')]);
});

test('a removed target does not come back by an old row of a restored store', () => {
  const list = createRetainedTargetList(options);
  list.update([target('one'), target('two')], 0);
  list.update([target('two')], 500);
  list.recordRestore(1_000);
  const restored = [target('one'), target('two')];
  expect(list.update(restored, 1_000)).toEqual([target('two')]);
  expect(list.update(restored, 4_599)).toEqual([target('two')]);
  expect(list.update(restored, 4_600)).toEqual(restored);
});

test('a new incarnation of a removed target is accepted from a restored store', () => {
  const list = createRetainedTargetList(options);
  list.update([target('one', {born: 100})], 0);
  list.update([], 500);
  list.recordRestore(1_000);
  const next = [target('one', {born: 200})];
  expect(list.update(next, 1_000)).toEqual(next);
});

test('a row that disappears and comes back without a restore is accepted at once', () => {
  const list = createRetainedTargetList(options);
  list.update([target('one')], 0);
  list.update([], 500);
  expect(list.update([target('one')], 1_000)).toEqual([target('one')]);
});

test('a row that had come back before a restore is accepted', () => {
  const list = createRetainedTargetList(options);
  list.update([target('one')], 0);
  list.update([], 500);
  list.update([target('one')], 1_000);
  list.recordRestore(1_500);
  expect(list.update([target('one')], 1_500)).toEqual([target('one')]);
});
