import {
  createTargetRegistry,
  type ListedTarget,
  type TargetRegistry,
} from '@hibiscusbeam/core';
import {expect, test} from 'vitest';
import {plainNeed, plainTarget} from '../fixtures/placement';

const target = (instance: string, changes: Partial<ListedTarget> = {}) =>
  plainTarget(instance, {born: 100, ...changes});

const NEED = plainNeed();

function bookOf(...targets: ListedTarget[]): TargetRegistry {
  const book = createTargetRegistry({instance: 'entry', zone: 'north'});
  book.list(targets, 0);
  return book;
}

function chosen(book: TargetRegistry): string | undefined {
  const choice = book.choose(NEED);
  return choice.kind === 'chosen' ? choice.target.instance : undefined;
}

test('a target that says it leaves is chosen no more, and others are', () => {
  const book = bookOf(target('one'), target('two'));
  const first = chosen(book) === 'one' ? target('one') : target('two');
  expect(book.recordLeaving(first)).toBe(true);
  expect(book.recordLeaving(first)).toBe(false);
  expect(chosen(book)).toBe(first.instance === 'one' ? 'two' : 'one');
});

test('a request chosen before its target says that it leaves does not begin', () => {
  const book = bookOf(target('one'));
  expect(book.mayStart(target('one'), NEED)).toBe(true);
  book.recordLeaving(target('one'));
  expect(book.mayStart(target('one'), NEED)).toBe(false);
});

test('a leaving target stays so when its line lapses and comes back', () => {
  const book = bookOf(target('one'));
  book.recordLeaving(target('one'));
  book.list([], 0);
  book.list([target('one')], 0);
  expect(book.choose(NEED)).toEqual({kind: 'leaving'});
});

test('a new life under the same id is chosen, and the former one is not again', () => {
  const book = bookOf(target('one'));
  book.recordLeaving(target('one'));
  book.list([target('one', {born: 200})], 0);
  expect(chosen(book)).toBe('one');
  book.list([target('one', {born: 100})], 0);
  expect(book.choose(NEED)).toEqual({kind: 'leaving'});
});

test('what a former life said does not end the new one', () => {
  const book = bookOf(target('one', {born: 200}));
  book.recordLeaving(target('one', {born: 100}));
  expect(chosen(book)).toBe('one');
});

test('targets that all leave, by the list or by their answers, are told from none', () => {
  const book = bookOf(target('one', {leaving: true}), target('two'));
  book.recordLeaving(target('two'));
  expect(book.choose(NEED)).toEqual({kind: 'leaving'});
  expect(bookOf().choose(NEED)).toEqual({kind: 'none'});
});

test('a target that the list called leaving stays so when an older list comes back', () => {
  const book = bookOf(target('one', {leaving: true}));
  book.list([target('one')], 0);
  expect(book.choose(NEED)).toEqual({kind: 'leaving'});
  book.list([target('one', {born: 200})], 0);
  expect(chosen(book)).toBe('one');
});
