import {
  createColdTargets,
  createSendPacer,
  createTargetRegistry,
  targetIncarnationKey,
  type ColdStart,
} from '@hibiscusbeam/core';
import {expect, test} from 'vitest';
import {engineRequest, engineTarget} from '../fixtures/placement';

const START: ColdStart = {duration: 8_000, sendsPerSecond: 14};
const STEP = 20;
const HEARTBEAT = 1_200;

/** Maximum number of requests that a cold target accepts in any second. */
const MAX_PER_SECOND = 1.5 * START.sendsPerSecond + 5;

const at = (coldFor: number, born = 100) =>
  engineTarget('engine', {born, coldFor});

test('a cold time that its target has not renewed counts from its first read', () => {
  const cold = createColdTargets(() => START);
  for (let now = 0; now < 5_000; now += 300) cold.list([at(5_000)], now);
  expect(cold.isCold(at(0), 4_990)).toBe(true);
  expect(cold.isCold(at(0), 5_000)).toBe(false);
});

test('a target that reports early that it is warm is warm at once', () => {
  const cold = createColdTargets(() => START);
  cold.list([at(5_000)], 0);
  cold.list([at(0)], 1_200);
  expect(cold.isCold(at(0), 1_200)).toBe(false);
});

test('a new incarnation in a report is cold before the list shows it', () => {
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

test('the rate of a target that becomes warm grows gradually from its cold rate', () => {
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

// A whole zone returns cold under full load. Each entry learns of it at a
// different time and has more requests than it may send.
test.each([1, 2, 5, 8, 12, 13, 14, 15, 17, 43, 390])(
  '%i entries together stay within the rate of a cold target and use it',
  size => {
    const entries = Array.from({length: size}, (_, index) => ({
      instance: `entry-${index}`,
      zone: 'north',
    }));
    let now = 0;
    const site = entries.map((self, index) => {
      const cold = createColdTargets(() => START);
      const pacer = createSendPacer({
        self,
        rateOf: life => cold.rateOf(life, now),
        knownShare: () => 1,
      });
      pacer.setSenders(entries);
      return {cold, pacer, learnsAt: (index * 340) % HEARTBEAT};
    });
    const times: number[] = [];
    for (now = 0; now < START.duration; now += STEP) {
      for (const {cold, pacer, learnsAt} of site) {
        if (now < learnsAt) continue;
        const heartbeats = Math.floor((now - learnsAt) / HEARTBEAT);
        cold.list([at(START.duration - heartbeats * HEARTBEAT)], now);
        while (pacer.maySend(at(0), now)) {
          pacer.recordSend(at(0), now);
          times.push(now);
        }
      }
    }
    const counts = times.map(
      first =>
        times.filter(time => time >= first && time < first + 1_000).length,
    );
    expect(Math.max(...counts)).toBeLessThanOrEqual(MAX_PER_SECOND);
    expect(times.length).toBeGreaterThanOrEqual(0.8 * 14 * 6);
  },
);

test('cold targets are left to short prompts while others have room', () => {
  const registry = createTargetRegistry(
    {instance: 'entry', zone: 'north'},
    () => true,
    () => true,
    {isCold: ({instance}) => instance === 'cold'},
  );
  registry.list([engineTarget('cold'), engineTarget('warm', {slots: 20})], 0);
  const sent = {promptTime: 50, onIncarnationEnded: () => undefined};
  for (let count = 0; count < 4; count += 1) {
    registry.begin(engineTarget('warm'), sent);
  }
  const chosenFor = (promptTime: number) => {
    const choice = registry.choose(engineRequest({promptTime}));
    return choice.kind === 'chosen' ? choice.target.instance : choice.kind;
  };
  expect(chosenFor(40)).toBe('cold');
  expect(chosenFor(60)).toBe('warm');
});
