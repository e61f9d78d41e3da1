import {
  createTargetRegistry,
  type ListedTarget,
  type TargetRegistry,
} from '@hibiscusbeam/core';
import {expect, test} from 'vitest';
import {plainRequest, plainTarget} from '../fixtures/placement';

const target = (instance: string, changes: Partial<ListedTarget> = {}) =>
  plainTarget(instance, {born: 100, ...changes});

function registryOf(...targets: ListedTarget[]): TargetRegistry {
  const registry = createTargetRegistry({instance: 'entry', zone: 'north'});
  registry.list(targets, 0);
  return registry;
}

function chosen(registry: TargetRegistry, now: number): string | undefined {
  const choice = registry.choose(plainRequest({now}));
  return choice.kind === 'chosen' ? choice.target.instance : undefined;
}

test('a target that requests a backoff is chosen again only after it ends', () => {
  const registry = registryOf(target('one'));
  registry.recordBackoff(target('one'), 3_000);
  expect(chosen(registry, 2_999)).toBeUndefined();
  expect(chosen(registry, 3_000)).toBe('one');
});

test('a shorter backoff that is requested later does not end a longer one', () => {
  const registry = registryOf(target('one'));
  registry.recordBackoff(target('one'), 3_000);
  registry.recordBackoff(target('one'), 1_000);
  expect(chosen(registry, 2_000)).toBeUndefined();
});

test('a request placed before its target requests a backoff does not start', () => {
  const registry = registryOf(target('one'));
  registry.recordBackoff(target('one'), 3_000);
  expect(registry.mayStart(target('one'), plainRequest({now: 10}))).toBe(false);
  expect(registry.mayStart(target('one'), plainRequest({now: 3_000}))).toBe(
    true,
  );
});

test('a backoff is kept while the row of its target expires and comes back', () => {
  const registry = registryOf(target('one'));
  registry.recordBackoff(target('one'), 3_000);
  registry.list([], 10);
  registry.list([target('one')], 20);
  expect(chosen(registry, 2_000)).toBeUndefined();
});

test('a new incarnation under the same id ignores the backoff of the previous one', () => {
  const registry = registryOf(target('one'));
  registry.recordBackoff(target('one'), 3_000);
  registry.list([target('one', {born: 200})], 10);
  expect(chosen(registry, 20)).toBe('one');
});

test('if all targets back off, the earliest end is returned, ignoring leaving ones', () => {
  const registry = registryOf(target('one'), target('two'), target('three'));
  registry.recordBackoff(target('one'), 3_000);
  registry.recordBackoff(target('two'), 2_000);
  registry.recordBackoff(target('three'), 1_000);
  registry.recordLeaving(target('three'));
  expect(registry.choose(plainRequest({now: 10}))).toEqual({
    kind: 'backingOff',
    until: 2_000,
  });
});
