import {
  createTargetRegistry,
  type ListedTarget,
  type TargetRegistry,
} from '@hibiscusbeam/core';
import {expect, test} from 'vitest';
import {plainRequest, plainTarget} from '../fixtures/placement';

const target = (instance: string, changes: Partial<ListedTarget> = {}) =>
  plainTarget(instance, {born: 100, ...changes});

const REQUEST = plainRequest();

function registryOf(...targets: ListedTarget[]): TargetRegistry {
  const registry = createTargetRegistry({instance: 'entry', zone: 'north'});
  registry.list(targets, 0);
  return registry;
}

function chosen(registry: TargetRegistry): string | undefined {
  const choice = registry.choose(REQUEST);
  return choice.kind === 'chosen' ? choice.target.instance : undefined;
}

test('a target that reports that it leaves is no longer chosen, but others are', () => {
  const registry = registryOf(target('one'), target('two'));
  const first = chosen(registry) === 'one' ? target('one') : target('two');
  expect(registry.recordLeaving(first)).toBe(true);
  expect(registry.recordLeaving(first)).toBe(false);
  expect(chosen(registry)).toBe(first.instance === 'one' ? 'two' : 'one');
});

test('a request placed before its target reports that it leaves does not start', () => {
  const registry = registryOf(target('one'));
  expect(registry.mayStart(target('one'), REQUEST)).toBe(true);
  registry.recordLeaving(target('one'));
  expect(registry.mayStart(target('one'), REQUEST)).toBe(false);
});

test('a leaving target stays leaving when its row expires and comes back', () => {
  const registry = registryOf(target('one'));
  registry.recordLeaving(target('one'));
  registry.list([], 0);
  registry.list([target('one')], 0);
  expect(registry.choose(REQUEST)).toEqual({kind: 'leaving'});
});

test('a new incarnation under the same id is chosen, the previous one is not', () => {
  const registry = registryOf(target('one'));
  registry.recordLeaving(target('one'));
  registry.list([target('one', {born: 200})], 0);
  expect(chosen(registry)).toBe('one');
  registry.list([target('one', {born: 100})], 0);
  expect(registry.choose(REQUEST)).toEqual({kind: 'leaving'});
});

test('a leaving report of a previous incarnation does not affect the new one', () => {
  const registry = registryOf(target('one', {born: 200}));
  registry.recordLeaving(target('one', {born: 100}));
  expect(chosen(registry)).toBe('one');
});

test('having only leaving targets is distinguished from having none', () => {
  const registry = registryOf(target('one', {leaving: true}), target('two'));
  registry.recordLeaving(target('two'));
  expect(registry.choose(REQUEST)).toEqual({kind: 'leaving'});
  expect(registryOf().choose(REQUEST)).toEqual({kind: 'none'});
});

test('a target listed as leaving stays leaving when an older list comes back', () => {
  const registry = registryOf(target('one', {leaving: true}));
  registry.list([target('one')], 0);
  expect(registry.choose(REQUEST)).toEqual({kind: 'leaving'});
  registry.list([target('one', {born: 200})], 0);
  expect(chosen(registry)).toBe('one');
});
