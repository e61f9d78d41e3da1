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

function startPacer(self: Entry, known: readonly Entry[], rate: number) {
  const site = {part: 1};
  const pacer = createSendPacer({
    self,
    rateOf: () => rate,
    knownShare: () => site.part,
  });
  pacer.setSenders(known);
  return {pacer, site};
}

/**
 * Returns the times of all sends if each entry has more requests than it may
 * send.
 */
function sendAll(
  entries: readonly SendPacer[],
  from: number,
  until: number,
): number[] {
  const times: number[] = [];
  for (let now = from; now < until; now += STEP) {
    for (const pacer of entries) {
      while (pacer.maySend(target, now)) {
        pacer.recordSend(target, now);
        times.push(now);
      }
    }
  }
  return times;
}

function maxInWindow(times: readonly number[]): number {
  const counts = times.map(
    first => times.filter(at => at >= first && at < first + WINDOW).length,
  );
  return Math.max(0, ...counts);
}

/**
 * Maximum number of requests that a target with a limit accepts in a window.
 */
function allowed(rate: number): number {
  return 1.5 * rate * (WINDOW / 1_000) + 5;
}

const SIZES = [1, 10, 390];
const RATES = [0, 0.5, 1, 3.5, 20, 400];
const CASES = SIZES.flatMap(size => RATES.map(rate => [size, rate] as const));

test.each(CASES)(
  '%i entries together stay within a limit of %d per second and use it',
  (size, rate) => {
    const entries = entriesOf(size);
    const pacer = entries.map(self => startPacer(self, entries, rate).pacer);
    const times = sendAll(pacer, 0, 20_000);
    expect(maxInWindow(times)).toBeLessThanOrEqual(allowed(rate));
    expect(times.length).toBeGreaterThanOrEqual(0.8 * rate * 18);
  },
);

test.each(RATES)(
  'two halves that are cut off from each other together stay within %d per second',
  rate => {
    const entries = entriesOf(10);
    const halves = [entries.slice(0, 5), entries.slice(5)];
    const pacer = halves.flatMap(half =>
      half.map(self => {
        const {pacer, site} = startPacer(self, half, rate);
        site.part = 0.5;
        return pacer;
      }),
    );
    const times = sendAll(pacer, 0, 20_000);
    expect(maxInWindow(times)).toBeLessThanOrEqual(allowed(rate));
  },
);

test('entries that join take over their share without a burst', () => {
  const entries = entriesOf(40);
  const rate = 8;
  const old = entries.slice(0, 5);
  const first = old.map(self => startPacer(self, old, rate).pacer);
  const joined = entries
    .slice(5)
    .map(self => startPacer(self, entries, rate).pacer);
  const times = sendAll(first, 0, 8_000);
  for (const pacer of first) pacer.setSenders(entries);
  times.push(...sendAll([...first, ...joined], 8_000, 16_000));
  expect(maxInWindow(times)).toBeLessThanOrEqual(allowed(rate));
});

test('sends to a target without a limit are not paced', () => {
  const [self] = entriesOf(1);
  const pacer = createSendPacer({
    self: self!,
    rateOf: () => undefined,
    knownShare: () => 0,
  });
  const sends = Array.from({length: 50}, () => pacer.maySend(target, 0));
  expect(sends).not.toContain(false);
});

test('an entry that knows no other entry yet sends nothing to a limited target', () => {
  const [self] = entriesOf(1);
  const {pacer, site} = startPacer(self!, [self!], 5);
  site.part = 0;
  expect(sendAll([pacer], 0, 10_000)).toEqual([]);
});
