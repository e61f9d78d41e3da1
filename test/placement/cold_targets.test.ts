import {
  createColdTargets,
  createSendPacer,
  createTargetRegistry,
  targetIncarnationKey,
  type ColdStart,
} from '@hibiscusbeam/core';
import {expect, test} from 'vitest';
import {engineNeed, engineTarget} from '../fixtures/placement';

const START: ColdStart = {duration: 8_000, sendsPerSecond: 14};
const STEP = 20;
const HEARTBEAT = 1_200;

/** What a cold target takes in any second at most. */
const MOST_IN_SECOND = 1.5 * START.sendsPerSecond + 5;

const at = (coldFor: number, born = 100) =>
  engineTarget('engine', {born, coldFor});

test('a value that its target has not renewed counts from its first reading', () => {
  const cold = createColdTargets(() => START);
  for (let now = 0; now < 5_000; now += 300) cold.list([at(5_000)], now);
  expect(cold.isCold(at(0), 4_990)).toBe(true);
  expect(cold.isCold(at(0), 5_000)).toBe(false);
});

test('a target that says sooner that it is warm is so at once', () => {
  const cold = createColdTargets(() => START);
  cold.list([at(5_000)], 0);
  cold.list([at(0)], 1_200);
  expect(cold.isCold(at(0), 1_200)).toBe(false);
});

test('a new life in a report is cold before the list has it', () => {
  const cold = createColdTargets(() => START);
  cold.list([at(0)], 0);
  cold.report({address: 'engine:1', born: 200}, 1_000);
  cold.list([at(0)], 1_100);
  expect(cold.isCold(at(0, 200), 1_200)).toBe(true);
  expect(cold.isCold(at(0), 1_200)).toBe(false);
  cold.list([at(3_000, 200)], 2_000);
  expect(cold.isCold(at(0, 200), 4_990)).toBe(true);
  expect(cold.isCold(at(0, 200), 5_000)).toBe(false);
});

test('a service without a cold start has no cold targets', () => {
  const cold = createColdTargets(() => undefined);
  cold.list([at(5_000)], 0);
  cold.report({address: 'engine:1', born: 200}, 0);
  expect(cold.all(0)).toEqual([]);
  expect(cold.rateOf(targetIncarnationKey(at(0)), 0)).toBeUndefined();
});

test('the rate of a target that becomes warm grows from that of a cold one', () => {
  const cold = createColdTargets(() => START);
  cold.list([at(1_000)], 0);
  const rates = [999, 1_000, 1_500, 2_000, 2_990].map(now =>
    cold.rateOf(targetIncarnationKey(at(0)), now),
  );
  expect(rates.slice(0, 2)).toEqual([14, 14]);
  for (const [index, rate = 0] of rates.entries()) {
    expect(rate).toBeGreaterThanOrEqual(rates[index - 1] ?? 0);
    expect(rate).toBeLessThanOrEqual(2.9 * (rates[index - 1] ?? 14));
  }
  expect(cold.rateOf(targetIncarnationKey(at(0)), 3_000)).toBeUndefined();
});

// A whole zone returns cold under full load; each entry hears of it at another
// moment, and has more requests than it may send.
test.each([1, 2, 5, 8, 12, 13, 14, 15, 17, 43, 390])(
  '%i entries together keep to the rate of a cold target, and use it',
  size => {
    const entries = Array.from({length: size}, (_, index) => ({
      instance: `entry-${index}`,
      zone: 'north',
    }));
    let now = 0;
    const site = entries.map((self, index) => {
      const cold = createColdTargets(() => START);
      const paced = createSendPacer({
        self,
        rateOf: life => cold.rateOf(life, now),
        knownShare: () => 1,
      });
      paced.setSenders(entries);
      return {cold, paced, hearsAt: (index * 340) % HEARTBEAT};
    });
    const times: number[] = [];
    for (now = 0; now < START.duration; now += STEP) {
      for (const {cold, paced, hearsAt} of site) {
        if (now < hearsAt) continue;
        const beats = Math.floor((now - hearsAt) / HEARTBEAT);
        cold.list([at(START.duration - beats * HEARTBEAT)], now);
        while (paced.maySend(at(0), now)) {
          paced.recordSend(at(0), now);
          times.push(now);
        }
      }
    }
    const counts = times.map(
      first =>
        times.filter(time => time >= first && time < first + 1_000).length,
    );
    expect(Math.max(...counts)).toBeLessThanOrEqual(MOST_IN_SECOND);
    expect(times.length).toBeGreaterThanOrEqual(0.8 * 14 * 6);
  },
);

test('cold targets are left to short prompts while others have room', () => {
  const book = createTargetRegistry(
    {instance: 'entry', zone: 'north'},
    () => true,
    () => true,
    {isCold: ({instance}) => instance === 'cold'},
  );
  book.list([engineTarget('cold'), engineTarget('warm', {slots: 20})], 0);
  const sent = {promptTime: 50, onIncarnationEnded: () => undefined};
  for (let count = 0; count < 4; count += 1) {
    book.begin(engineTarget('warm'), sent);
  }
  const chosenFor = (promptTime: number) => {
    const choice = book.choose(engineNeed({promptTime}));
    return choice.kind === 'chosen' ? choice.target.instance : choice.kind;
  };
  expect(chosenFor(40)).toBe('cold');
  expect(chosenFor(60)).toBe('warm');
});
