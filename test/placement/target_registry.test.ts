import {createTargetRegistry, type ListedTarget} from '@hibiscusbeam/core';
import {expect, test} from 'vitest';
import {
  engineLoad as load,
  engineNeed as need,
  engineTarget,
} from '../fixtures/placement';

const self = {instance: 'entry', zone: 'north'};

const engine = (instance: string, zone = 'north') =>
  engineTarget(instance, {zone});

function bookOf(...targets: ListedTarget[]) {
  const book = createTargetRegistry(self);
  book.list(targets, 0);
  return book;
}

test('goes to the engine with the lower load', () => {
  const book = bookOf(engine('one'), engine('two'));
  book.report(load('one', {running: 9}), 0);
  book.report(load('two', {running: 3}), 0);
  expect(book.choose(need())).toMatchObject({target: {instance: 'two'}});
});

// An engine comes back empty after it loaded a version. Given 16 prompts at
// once it reads them one after the other, and all first events are late.
test('gives an empty engine only as many prompts as it reads in time', () => {
  const book = bookOf(engine('one'));
  book.report(load('one'), 0);
  let sent = 0;
  for (;;) {
    const choice = book.choose(need());
    if (choice.kind !== 'chosen') break;
    book.begin(choice.target, {
      promptTime: 0,
      onIncarnationEnded: () => undefined,
    });
    sent += 1;
  }
  expect(sent).toBe(3);
});

// The engines of a zone are lost. An empty engine of another zone takes its
// requests; refused, its callers alone would go without.
test('sends to an empty engine of another zone if there is no near one', () => {
  const book = bookOf(engine('one', 'south'));
  book.setEntries([self, {instance: 'other', zone: 'south'}]);
  book.report(load('one'), 0);
  expect(book.choose(need()).kind).toBe('chosen');
});

test('sends nothing to an engine that loads weights', () => {
  const book = bookOf(engine('one'));
  book.report(load('one', {ordering: true}), 0);
  expect(book.choose(need()).kind).toBe('full');
});

test('sends nothing to an engine with an older version than may start', () => {
  const book = bookOf(engine('one'), engine('two'));
  book.report(load('two', {held: [{model: 'model', version: 2}]}), 0);
  const choice = book.choose(need({minVersion: 2}));
  expect(choice).toMatchObject({target: {instance: 'two'}});
  const {target} = choice as {readonly target: ListedTarget};
  expect(book.heldVersion(target, 'model', 0)).toBe(2);
});

// An engine is to load a version in 300 ms. A long request sent there would
// keep it from loading while its other slots stand idle.
test('keeps a long request from an engine that is about to load', () => {
  const book = bookOf(engine('one'), engine('two'));
  book.report(load('one', {running: 2, loadsIn: 300}), 0);
  book.report(load('two', {running: 6}), 0);
  const instanceFor = (expectedRun: number) => book.choose(need({expectedRun}));
  expect(instanceFor(2_000)).toMatchObject({target: {instance: 'two'}});
  expect(instanceFor(100)).toMatchObject({target: {instance: 'one'}});
});

test('an old report says nothing of the load now', () => {
  const book = bookOf(engine('one'));
  book.report(load('one', {running: 17}), 0);
  expect(book.choose(need({now: 100})).kind).toBe('full');
  expect(book.choose(need({now: 5_000})).kind).toBe('chosen');
});

test('a target that fails twice is left alone for a while', () => {
  const book = bookOf(engine('one'), engine('two'));
  const one = engine('one');
  book.recordFailure(one, 0);
  book.recordFailure(one, 0);
  for (let count = 0; count < 4; count += 1) {
    const choice = book.choose(need({now: 100}));
    expect(choice).toMatchObject({target: {instance: 'two'}});
    if (choice.kind === 'chosen') {
      book.begin(choice.target, {
        promptTime: 0,
        onIncarnationEnded: () => undefined,
      });
    }
  }
});

// The link between two regions is choked for seconds. A request that is sent in
// time reaches an engine there after the bound of the version it holds.
test('an engine in another zone starts nothing older before its bound', () => {
  const book = bookOf(engine('one', 'south'));
  book.report(load('one'), 0);
  expect(book.choose(need({minFarVersion: 2}))).toEqual({kind: 'none'});
  expect(book.choose(need())).toMatchObject({kind: 'chosen'});
});
