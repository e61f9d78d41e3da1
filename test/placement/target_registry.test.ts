import {createTargetRegistry, type ListedTarget} from '@hibiscusbeam/core';
import {expect, test} from 'vitest';
import {
  engineLoad as load,
  engineRequest as need,
  engineTarget,
} from '../fixtures/placement';

const self = {instance: 'entry', zone: 'north'};

const engine = (instance: string, zone = 'north') =>
  engineTarget(instance, {zone});

function registryOf(...targets: ListedTarget[]) {
  const registry = createTargetRegistry(self);
  registry.list(targets, 0);
  return registry;
}

test('chooses the engine with the lower load', () => {
  const registry = registryOf(engine('one'), engine('two'));
  registry.report(load('one', {running: 9}), 0);
  registry.report(load('two', {running: 3}), 0);
  expect(registry.choose(need())).toMatchObject({target: {instance: 'two'}});
});

// An engine comes back empty after it has loaded a version. It reads prompts
// one after the other, so with 16 at once all first events would be late.
test('sends an empty engine only as many prompts as it reads in time', () => {
  const registry = registryOf(engine('one'));
  registry.report(load('one'), 0);
  let sent = 0;
  for (;;) {
    const choice = registry.choose(need());
    if (choice.kind !== 'chosen') break;
    registry.begin(choice.target, {
      promptTime: 0,
      onIncarnationEnded: () => undefined,
    });
    sent += 1;
  }
  expect(sent).toBe(3);
});

// If the engines of a zone are lost, an empty engine of another zone must take
// its requests. Otherwise its callers alone would be refused.
test('sends to an empty engine of another zone if there is no near one', () => {
  const registry = registryOf(engine('one', 'south'));
  registry.setEntries([self, {instance: 'other', zone: 'south'}]);
  registry.report(load('one'), 0);
  expect(registry.choose(need()).kind).toBe('chosen');
});

test('sends nothing to an engine that loads weights', () => {
  const registry = registryOf(engine('one'));
  registry.report(load('one', {ordering: true}), 0);
  expect(registry.choose(need()).kind).toBe('full');
});

test('sends nothing to an engine with an older version than may start', () => {
  const registry = registryOf(engine('one'), engine('two'));
  registry.report(load('two', {held: [{model: 'model', version: 2}]}), 0);
  const choice = registry.choose(need({minVersion: 2}));
  expect(choice).toMatchObject({target: {instance: 'two'}});
  const {target} = choice as {readonly target: ListedTarget};
  expect(registry.heldVersion(target, 'model', 0)).toBe(2);
});

// An engine is to load a version in 300 ms. A long request sent there would
// keep it from loading while its other slots are idle.
test('keeps a long request from an engine that is about to load', () => {
  const registry = registryOf(engine('one'), engine('two'));
  registry.report(load('one', {running: 2, loadsIn: 300}), 0);
  registry.report(load('two', {running: 6}), 0);
  const instanceFor = (expectedRun: number) =>
    registry.choose(need({expectedRun}));
  expect(instanceFor(2_000)).toMatchObject({target: {instance: 'two'}});
  expect(instanceFor(100)).toMatchObject({target: {instance: 'one'}});
});

test('an old report is not used for the current load', () => {
  const registry = registryOf(engine('one'));
  registry.report(load('one', {running: 17}), 0);
  expect(registry.choose(need({now: 100})).kind).toBe('full');
  expect(registry.choose(need({now: 5_000})).kind).toBe('chosen');
});

test('a target that fails twice is avoided for a while', () => {
  const registry = registryOf(engine('one'), engine('two'));
  const one = engine('one');
  registry.recordFailure(one, 0);
  registry.recordFailure(one, 0);
  for (let count = 0; count < 4; count += 1) {
    const choice = registry.choose(need({now: 100}));
    expect(choice).toMatchObject({target: {instance: 'two'}});
    if (choice.kind === 'chosen') {
      registry.begin(choice.target, {
        promptTime: 0,
        onIncarnationEnded: () => undefined,
      });
    }
  }
});

// The link between two regions is congested for seconds. A request that is sent
// in time may reach an engine there after the bound of the version it holds.
test('an engine in another zone starts nothing older before its bound', () => {
  const registry = registryOf(engine('one', 'south'));
  registry.report(load('one'), 0);
  expect(registry.choose(need({minFarVersion: 2}))).toEqual({kind: 'none'});
  expect(registry.choose(need())).toMatchObject({kind: 'chosen'});
});
