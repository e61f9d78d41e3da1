import {createSendPacer, type SendPacer} from '@hibiscusbeam/core';
import {expect, test} from 'vitest';

const STEP = 20;
const WINDOW = 4_000;
const target = {instance: 'engine', born: undefined};

function entriesOf(count: number) {
  return Array.from({length: count}, (_, index) => ({
    instance: `entry-${index}`,
    zone: 'north',
  }));
}

type Entry = ReturnType<typeof entriesOf>[number];

function startPacing(self: Entry, known: readonly Entry[], rate: number) {
  const site = {part: 1};
  const paced = createSendPacer({
    self,
    rateOf: () => rate,
    knownShare: () => site.part,
  });
  paced.setSenders(known);
  return {paced, site};
}

/** Times of all sends, each entry having more requests than it may send. */
function sendAll(
  entries: readonly SendPacer[],
  from: number,
  until: number,
): number[] {
  const times: number[] = [];
  for (let now = from; now < until; now += STEP) {
    for (const paced of entries) {
      while (paced.maySend(target, now)) {
        paced.recordSend(target, now);
        times.push(now);
      }
    }
  }
  return times;
}

function mostInWindow(times: readonly number[]): number {
  const counts = times.map(
    first => times.filter(at => at >= first && at < first + WINDOW).length,
  );
  return Math.max(0, ...counts);
}

/** What a target that names a limit takes in a window at most. */
function allowed(rate: number): number {
  return 1.5 * rate * (WINDOW / 1_000) + 5;
}

const SIZES = [1, 10, 390];
const RATES = [0, 0.5, 1, 3.5, 20, 400];
const CASES = SIZES.flatMap(size => RATES.map(rate => [size, rate] as const));

test.each(CASES)(
  '%i entries keep to a limit of %d a second together, and use it',
  (size, rate) => {
    const entries = entriesOf(size);
    const paced = entries.map(self => startPacing(self, entries, rate).paced);
    const times = sendAll(paced, 0, 20_000);
    expect(mostInWindow(times)).toBeLessThanOrEqual(allowed(rate));
    expect(times.length).toBeGreaterThanOrEqual(0.8 * rate * 18);
  },
);

test.each(RATES)(
  'two halves that do not know each other keep to %d a second together',
  rate => {
    const entries = entriesOf(10);
    const halves = [entries.slice(0, 5), entries.slice(5)];
    const paced = halves.flatMap(half =>
      half.map(self => {
        const {paced, site} = startPacing(self, half, rate);
        site.part = 0.5;
        return paced;
      }),
    );
    const times = sendAll(paced, 0, 20_000);
    expect(mostInWindow(times)).toBeLessThanOrEqual(allowed(rate));
  },
);

test('entries that join take over without a burst', () => {
  const entries = entriesOf(40);
  const rate = 8;
  const old = entries.slice(0, 5);
  const first = old.map(self => startPacing(self, old, rate).paced);
  const joined = entries
    .slice(5)
    .map(self => startPacing(self, entries, rate).paced);
  const times = sendAll(first, 0, 8_000);
  for (const paced of first) paced.setSenders(entries);
  times.push(...sendAll([...first, ...joined], 8_000, 16_000));
  expect(mostInWindow(times)).toBeLessThanOrEqual(allowed(rate));
});

test('a target that names no limit is not held back', () => {
  const [self] = entriesOf(1);
  const paced = createSendPacer({
    self: self!,
    rateOf: () => undefined,
    knownShare: () => 0,
  });
  const sends = Array.from({length: 50}, () => paced.maySend(target, 0));
  expect(sends).not.toContain(false);
});

test('an entry that knows no other one yet sends nothing to a limited target', () => {
  const [self] = entriesOf(1);
  const {paced, site} = startPacing(self!, [self!], 5);
  site.part = 0;
  expect(sendAll([paced], 0, 10_000)).toEqual([]);
});
