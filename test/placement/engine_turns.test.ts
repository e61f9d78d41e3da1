import {createTargetRegistry} from '@hibiscusbeam/core';
import {expect, test} from 'vitest';
import {engineLoad, engineNeed, engineTarget} from '../fixtures/placement';

const ENTRIES = Array.from({length: 14}, (_, index) => ({
  instance: `entry-${index}`,
  zone: 'north',
}));

/** Books of all entries, told of one engine that is idle. */
function booksOfIdleEngine(slots: number) {
  const target = engineTarget('engine', {slots});
  return ENTRIES.map(entry => {
    const book = createTargetRegistry(entry);
    book.setEntries(ENTRIES);
    book.list([target], 0);
    book.report(engineLoad('engine', {held: target.held ?? []}), 0);
    return book;
  });
}

const mayStart = (book: ReturnType<typeof createTargetRegistry>, now: number) =>
  book.choose(engineNeed({now})).kind === 'chosen';

// An idle engine is reported on each 500 ms. Three of 14 entries have a turn at a
// report; the others kept their requests waiting until the next one.
test('turns at an idle engine move on between its reports', () => {
  const books = booksOfIdleEngine(12);
  const turns = [0, 100, 200, 300, 400].map(now =>
    books.map(book => mayStart(book, now)),
  );
  for (const each of turns) expect(each.filter(Boolean)).toHaveLength(3);
  const served = books.filter((_, entry) => turns.some(each => each[entry]));
  expect(served.length).toBeGreaterThan(6);
});

test('an entry fills no more than its part before the next report', () => {
  const [book] = booksOfIdleEngine(12).filter(each => mayStart(each, 0));
  const target = engineTarget('engine', {slots: 12});
  book!.begin(target, {promptTime: 1, onIncarnationEnded: () => undefined});
  expect([0, 150, 250, 350].some(now => mayStart(book!, now))).toBe(false);
});
