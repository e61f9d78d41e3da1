import {createRetainedTargetList, type ListedTarget} from '@hibiscusbeam/core';
import {expect, test} from 'vitest';
import {plainTarget} from '../fixtures/placement';

const options = {heartbeat: 1_200, recoveryTime: 2_000};

const target = (instance: string, changes: Partial<ListedTarget> = {}) =>
  plainTarget(instance, {slots: 1, ...changes});

// The store is away for longer than targets can go without renewing their
// lines. All lapse, and come back within two seconds of its return.
test('missing lines count for a while after the store was away', () => {
  const memory = createRetainedTargetList(options);
  memory.update([target('one'), target('two')], 0);
  memory.recordFailure(500);
  expect(memory.update([target('two')], 5_000)).toHaveLength(2);
  expect(memory.update([target('two')], 6_900)).toHaveLength(2);
  expect(memory.update([target('two')], 7_000)).toHaveLength(1);
});

test('a line that goes while the store answers is gone at once', () => {
  const memory = createRetainedTargetList(options);
  memory.update([target('one')], 0);
  expect(memory.update([], 500)).toEqual([]);
});

// The store turns an entry away for a while. After its return the entry reads
// an engine's line, and then the engine leaves. Kept like those that have not
// come back, it was sent requests for two seconds after it had left.
test('a line that came back and goes again is gone at once', () => {
  const memory = createRetainedTargetList(options);
  memory.update([target('one'), target('two')], 0);
  memory.recordFailure(500);
  expect(memory.update([target('one')], 5_000)).toHaveLength(2);
  expect(memory.update([], 5_400)).toEqual([target('two')]);
  expect(memory.update([], 7_000)).toEqual([]);
});

test('what came back after one absence is kept again in the next', () => {
  const memory = createRetainedTargetList(options);
  memory.update([target('one')], 0);
  memory.recordFailure(500);
  memory.update([target('one')], 5_000);
  memory.recordFailure(5_400);
  expect(memory.update([], 8_000)).toEqual([target('one')]);
});

test('a single lost read keeps no line', () => {
  const memory = createRetainedTargetList(options);
  memory.update([target('one')], 0);
  memory.recordFailure(500);
  expect(memory.update([], 1_000)).toEqual([]);
});

test('a target that was seen to leave stays so while it is missing', () => {
  const memory = createRetainedTargetList(options);
  memory.update([target('one', {leaving: true})], 0);
  memory.recordFailure(500);
  expect(memory.update([], 5_000)).toMatchObject([{leaving: true}]);
});

test('another life at the same address ends the one before', () => {
  const memory = createRetainedTargetList(options);
  memory.update([target('one')], 0);
  memory.recordFailure(500);
  const next = target('next', {address: 'one:1'});
  expect(memory.update([next], 5_000)).toEqual([next]);
});

test('lines that a restored store has lost count until their targets are back', () => {
  const memory = createRetainedTargetList(options);
  memory.update([target('one'), target('two')], 0);
  memory.recordRestore(100);
  expect(memory.update([target('one')], 100)).toHaveLength(2);
  expect(memory.update([target('one')], 2_099)).toHaveLength(2);
  expect(memory.update([target('one')], 2_100)).toEqual([target('one')]);
});

test('a target that had gone is not back by the line of a restored store alone', () => {
  const memory = createRetainedTargetList(options);
  memory.update([target('one'), target('two')], 0);
  memory.update([target('two')], 500);
  memory.recordRestore(1_000);
  const restored = [target('one'), target('two')];
  expect(memory.update(restored, 1_000)).toEqual([target('two')]);
  expect(memory.update(restored, 4_599)).toEqual([target('two')]);
  expect(memory.update(restored, 4_600)).toEqual(restored);
});

test('a new life of a target that had gone is taken from a restored store', () => {
  const memory = createRetainedTargetList(options);
  memory.update([target('one', {born: 100})], 0);
  memory.update([], 500);
  memory.recordRestore(1_000);
  const next = [target('one', {born: 200})];
  expect(memory.update(next, 1_000)).toEqual(next);
});

test('a line that goes and comes back without a restore is taken at once', () => {
  const memory = createRetainedTargetList(options);
  memory.update([target('one')], 0);
  memory.update([], 500);
  expect(memory.update([target('one')], 1_000)).toEqual([target('one')]);
});

test('a line that had come back before a restore is not doubted', () => {
  const memory = createRetainedTargetList(options);
  memory.update([target('one')], 0);
  memory.update([], 500);
  memory.update([target('one')], 1_000);
  memory.recordRestore(1_500);
  expect(memory.update([target('one')], 1_500)).toEqual([target('one')]);
});
