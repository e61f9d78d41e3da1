import {createRouteTable} from '@hibiscusbeam/core';
import {expect, test} from 'vitest';
import {createExpectedRuns} from '../../packages/fleet/src/entry/expected_run';
import type {CallerHeader} from '../../packages/fleet/src/ports';

const STEP = 10;
const MEMORY = 100_000;

function tableOf(memoryTokens: number | undefined) {
  return createRouteTable({
    version: 1,
    routes: [],
    services: [
      {
        kind: 'modelEngine',
        name: 'engines',
        coldStart: undefined,
        profile: {
          slots: 12,
          stepTime: STEP,
          stepTimePerRequest: 0.1,
          prefillRate: 20_000,
          timePerMillionPairs: 0,
          stride: 1,
          prefillChunk: 512,
          loadTime: 2_000,
          stepTimePerThousandTokens: 0,
          memoryTokens,
        },
        weights: {models: ['model'], chunks: 1, chunkSize: 1, layers: 1},
      },
    ],
    workspaces: [],
    limits: {headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1},
  });
}

function requestWith(
  header: Partial<CallerHeader>,
  memoryTokens: number | undefined = MEMORY,
) {
  return {
    header: {promptTokens: 1_000, ...header} as CallerHeader,
    table: tableOf(memoryTokens),
    service: 'engines',
    route: 'route',
  };
}

/** Creates expectations that have recorded many answers of `tokens` tokens. */
function learnedRuns(tokens: number) {
  const runs = createExpectedRuns();
  for (let count = 0; count < 300; count += 1) {
    runs.recordWritten(requestWith({}), tokens * STEP);
  }
  return runs;
}

test('no memory is requested if the profile specifies none', () => {
  const runs = createExpectedRuns();
  const {memory} = runs.expect({...requestWith({}), table: tableOf(undefined)});
  expect(memory).toBeUndefined();
});

// A hint of 0 would hide the memory that an answer takes; one of 10^9 would fit
// no engine.
test.each([0, 1e9, NaN, -1])(
  'a hint of %d tokens counts as the recorded answers of its route',
  hint => {
    const {memory} = learnedRuns(200).expect(
      requestWith({expectedOutputTokens: hint, mostOutputTokens: 500}),
    );
    expect(memory?.output).toBeGreaterThanOrEqual(199);
    expect(memory?.output).toBeLessThan(300);
    expect(memory?.tokens).toBeLessThan(1_300);
  },
);

test('a hint above the maximum of its request counts as the maximum', () => {
  const runs = createExpectedRuns();
  const named = {expectedOutputTokens: 1e9, mostOutputTokens: 500};
  const {tokens, memory} = runs.expect(requestWith(named));
  expect(tokens).toBe(1_500);
  expect(memory?.tokens).toBe(1_500);
});

test('a hint on a route without recorded answers takes at most a quarter of an engine', () => {
  const runs = createExpectedRuns();
  const {memory} = runs.expect(requestWith({expectedOutputTokens: 1e9}));
  expect(memory?.output).toBe(MEMORY / 4);
});

test('a prompt with a malformed number of tokens counts as unknown', () => {
  const runs = createExpectedRuns();
  expect(runs.expect(requestWith({promptTokens: NaN})).tokens).toBe(0);
});
