import {
  createTargetRegistry,
  type ListedTarget,
  type TargetRegistry,
} from '@hibiscusbeam/core';
import {expect, test} from 'vitest';
import {plainNeed, plainTarget} from '../fixtures/placement';

const target = (instance: string, changes: Partial<ListedTarget> = {}) =>
  plainTarget(instance, {born: 100, ...changes});

function bookOf(...targets: ListedTarget[]): TargetRegistry {
  const book = createTargetRegistry({instance: 'entry', zone: 'north'});
  book.list(targets, 0);
  return book;
}

function chosen(book: TargetRegistry, now: number): string | undefined {
  const choice = book.choose(plainNeed({now}));
  return choice.kind === 'chosen' ? choice.target.instance : undefined;
}

test('a target that asks to back off is chosen again only once the time is over', () => {
  const book = bookOf(target('one'));
  book.recordBackoff(target('one'), 3_000);
  expect(chosen(book, 2_999)).toBeUndefined();
  expect(chosen(book, 3_000)).toBe('one');
});

test('a shorter time that is asked for later does not end a longer one', () => {
  const book = bookOf(target('one'));
  book.recordBackoff(target('one'), 3_000);
  book.recordBackoff(target('one'), 1_000);
  expect(chosen(book, 2_000)).toBeUndefined();
});

test('a request chosen before its target asks to back off does not begin', () => {
  const book = bookOf(target('one'));
  book.recordBackoff(target('one'), 3_000);
  expect(book.mayStart(target('one'), plainNeed({now: 10}))).toBe(false);
  expect(book.mayStart(target('one'), plainNeed({now: 3_000}))).toBe(true);
});

test('the time is kept while the line of its target lapses and comes back', () => {
  const book = bookOf(target('one'));
  book.recordBackoff(target('one'), 3_000);
  book.list([], 10);
  book.list([target('one')], 20);
  expect(chosen(book, 2_000)).toBeUndefined();
});

test('a new life under the same id is not bound by what the former one asked', () => {
  const book = bookOf(target('one'));
  book.recordBackoff(target('one'), 3_000);
  book.list([target('one', {born: 200})], 10);
  expect(chosen(book, 20)).toBe('one');
});

test('targets that all back off name the first end, leaving ones apart', () => {
  const book = bookOf(target('one'), target('two'), target('three'));
  book.recordBackoff(target('one'), 3_000);
  book.recordBackoff(target('two'), 2_000);
  book.recordBackoff(target('three'), 1_000);
  book.recordLeaving(target('three'));
  expect(book.choose(plainNeed({now: 10}))).toEqual({
    kind: 'backingOff',
    until: 2_000,
  });
});
