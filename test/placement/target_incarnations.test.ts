import {createTargetRegistry} from '@hibiscusbeam/core';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {propertySettings} from '../fixtures/property_settings';
import {
  engineLoad,
  engineNeed,
  engineTarget,
  HELD,
} from '../fixtures/placement';

const line = (born: number | undefined, held = HELD) =>
  engineTarget('engine', {born, held});

const word = (born: number | undefined, held = HELD) =>
  engineLoad('engine', {born, held});

const need = (now: number) => engineNeed({now});

function createBook() {
  return createTargetRegistry({instance: 'entry', zone: 'north'});
}

// An engine starts again under its id and holds nothing. Its agent reports so
// at once, while the list still has the line of the former life: callers must
// not be sent there by that line, also when the agent falls silent.
test('a line of a former life says nothing of what is held', () => {
  const book = createBook();
  book.list([line(100)], 0);
  book.report(word(100), 0);
  expect(book.choose(need(10))).toMatchObject({kind: 'chosen'});
  book.report(word(200, []), 20);
  book.list([line(100)], 30);
  expect(book.choose(need(40))).toEqual({kind: 'none'});
});

// A report of the former life was held up and comes after the list has shown
// the new one. It must not say that the new life holds weights.
test('a late report of a former life is dropped', () => {
  const book = createBook();
  book.list([line(100)], 0);
  book.list([line(200, [])], 10);
  book.report(word(100), 20);
  expect(book.choose(need(30))).toEqual({kind: 'none'});
});

test('reports before the first list date the life as well', () => {
  const book = createBook();
  book.report(word(200, []), 0);
  book.list([line(100)], 10);
  expect(book.choose(need(20))).toEqual({kind: 'none'});
});

// The former life failed requests and is avoided for seconds. The new one has
// failed nobody.
test('failures of a former life are forgotten', () => {
  const book = createBook();
  const other = {...line(undefined), instance: 'other', address: 'other:1'};
  const far = {...other, zone: 'south'};
  book.list([line(100), far], 0);
  for (let count = 0; count < 4; count += 1) book.recordFailure(line(100), 10);
  expect(book.choose(need(20))).toMatchObject({target: {instance: 'other'}});
  book.list([line(200), far], 30);
  expect(book.choose(need(40))).toMatchObject({target: {instance: 'engine'}});
});

// Connections to an engine that died may stay silent for good. Its streams go
// on elsewhere as soon as its new life is known, not seconds later.
test('ends what is in hand at a former life, once', () => {
  const book = createBook();
  book.list([line(100)], 0);
  let ended = 0;
  book.begin(line(100), {
    promptTime: 0,
    onIncarnationEnded: () => (ended += 1),
  });
  const inHand = book.begin(line(100), {
    promptTime: 0,
    onIncarnationEnded: () => (ended += 10),
  });
  inHand.end();
  book.report(word(200, []), 10);
  book.list([line(200, [])], 20);
  book.report(word(200, []), 30);
  expect(ended).toBe(1);
});

// A plain target may have taken the request in its new life before the list
// shows that life: its answer must not be thrown away.
test('leaves requests at a plain target to their own end', () => {
  const book = createBook();
  const plain = (born: number) => ({...line(born), held: undefined});
  book.list([plain(100)], 0);
  let ended = 0;
  book.begin(plain(100), {
    promptTime: 0,
    onIncarnationEnded: () => (ended += 1),
  });
  book.list([plain(200)], 10);
  expect(ended).toBe(0);
});

// The clock of an engine's machine is set back before it starts again. Its new
// life looks older than the former one and must be served all the same.
test('a life that is dated back counts once the former one is silent', () => {
  const book = createBook();
  book.list([line(200)], 0);
  book.report(word(200), 0);
  book.list([line(100)], 2_500);
  book.report(word(100), 2_600);
  expect(book.choose(need(2_700))).toMatchObject({kind: 'chosen'});
});

// All engines of a site lose power. The list still says what they held, and no
// agent reports yet: who is turned away once must not be sent there again.
test('what a target denies is not believed until there is news of it', () => {
  const book = createBook();
  book.list([line(100)], 0);
  book.recordMisdirected(line(100), 10);
  book.list([line(100)], 20);
  expect(book.choose(need(30))).toEqual({kind: 'none'});
  book.report(word(100), 40);
  expect(book.choose(need(50))).toMatchObject({kind: 'chosen'});
});

test('a line that changes is believed again', () => {
  const book = createBook();
  book.list([line(100, [])], 0);
  book.recordMisdirected(line(100, []), 10);
  book.list([line(100)], 20);
  expect(book.choose(need(30))).toMatchObject({kind: 'chosen'});
});

type News =
  | {readonly kind: 'line'; readonly born: number}
  | {readonly kind: 'report'; readonly born: number};

const news: fc.Arbitrary<News> = fc.record({
  kind: fc.constantFrom('line' as const, 'report' as const),
  born: fc.integer({min: 1, max: 5}),
});

// Only the newest life holds nothing; all before it held the model. In whatever
// order, how late and how often their words come: once the newest one has
// spoken, nothing is sent there.
test('no order of news brings a former life back', () => {
  fc.assert(
    fc.property(fc.array(news, {maxLength: 30}), words => {
      const book = createBook();
      const newest = 6;
      let now = 0;
      const tell = ({kind, born}: News): void => {
        const held = born === newest ? [] : HELD;
        if (kind === 'line') book.list([line(born, held)], (now += 10));
        else book.report(word(born, held), (now += 10));
      };
      words.forEach(tell);
      tell({kind: 'report', born: newest});
      words.forEach(tell);
      tell({kind: 'line', born: 1});
      expect(book.choose(need(now))).toEqual({kind: 'none'});
    }),
    propertySettings(300),
  );
});
