import {
  createObservedPace,
  forecastFirstEvent,
  relativePaces,
  type EngineProfile,
  type EngineWork,
} from '@hibiscusbeam/core';
import {expect, test} from 'vitest';

const PROFILE: EngineProfile = {
  slots: 12,
  stepTime: 8,
  stepTimePerRequest: 0.5,
  prefillRate: 20_000,
  timePerMillionPairs: 0,
  stride: 5,
  prefillChunk: 500,
  loadTime: 2_000,
  stepTimePerThousandTokens: 0,
  memoryTokens: undefined,
};
const IDLE: EngineWork = {
  running: 0,
  waiting: 0,
  unreadPrompts: 0,
  loadsIn: undefined,
  pace: 1,
};
const REQUEST = {promptTime: 50, expectedRun: 1_200, expectedTokens: 1_000};

const forecast = (changes: Partial<EngineWork>): number =>
  forecastFirstEvent(PROFILE, {...IDLE, ...changes}, REQUEST);

test('an idle engine reads the prompt and generates for one pass', () => {
  expect(forecast({})).toBeCloseTo(50 + 5 * 8.5);
});

test('a busy engine takes half a pass and a step for each chunk more', () => {
  // Steps of 10 ms with four writers; 100 ms of prompts are four chunks of 25
  // ms.
  expect(forecast({running: 4, unreadPrompts: 50})).toBeCloseTo(
    25 + 100 + 4 * 10 + 5 * 10.5,
  );
});

test('pace, a full engine and a pending load delay the first event', () => {
  expect(forecast({pace: 2.5})).toBeCloseTo(2.5 * forecast({}));
  const full = forecast({running: 12, waiting: 2});
  expect(full - forecast({running: 11})).toBeCloseTo(300);
  expect(forecast({running: 12, loadsIn: 50})).toBeGreaterThan(2_000);
  expect(forecast({running: 4, loadsIn: 50})).toBe(forecast({running: 4}));
});

// When a slow period ends, no request shows it, since the engine is avoided.
test('a slow period is detected from few responses and forgotten', () => {
  const observed = createObservedPace();
  for (let at = 0; at < 300; at += 50) observed.record(2.5, at);
  expect(Math.exp(observed.logPace(300))).toBeGreaterThan(1.6);
  expect(Math.exp(observed.logPace(3_300))).toBeLessThan(1.5);
  expect(Math.exp(observed.logPace(120_000))).toBeLessThan(1.05);
});

test('an engine that is permanently slow is remembered for longer', () => {
  const observed = createObservedPace();
  for (let at = 0; at < 30_000; at += 500) observed.record(2, at);
  expect(Math.exp(observed.logPace(35_000))).toBeGreaterThan(1.6);
});

// After the clock jumps to the past, old values must not gain weight.
test('a clock that jumps back does not change the pace', () => {
  const observed = createObservedPace();
  observed.record(2, 10_000);
  expect(observed.logPace(5_000)).toBeCloseTo(observed.logPace(10_000));
});

test('a zone behind a slow link is not taken for slow engines', () => {
  const zone = (name: string, logObserved: number) =>
    [1, 2, 3].map(() => ({zone: name, reported: 1, logObserved}));
  const engines = [...zone('north', 0), ...zone('south', 0.9)];
  expect(relativePaces(engines).isUneven).toBe(false);
  const slow = {zone: 'south', reported: 1, logObserved: 1.6};
  const {paces, isUneven} = relativePaces([...engines, slow]);
  expect(isUneven).toBe(true);
  expect(paces.at(-1)).toBeCloseTo(Math.exp(0.7));
});

test('invalid paces in reports count as 1', () => {
  for (const reported of [0, -1, NaN, Infinity]) {
    const engine = {zone: 'north', reported, logObserved: 0};
    expect(relativePaces([engine]).paces).toEqual([1]);
  }
});
