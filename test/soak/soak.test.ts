import {rmSync} from 'node:fs';
import {join} from 'node:path';
import {expect, test} from 'vitest';
import {playSoak} from './soak';

const SIZE = {entries: 4, engines: 6, duration: 14_000};

/** `SOAK_SEEDS=7,8` plays others; `SOAK_ENTRIES` sets how many entries. */
const SEEDS = (process.env.SOAK_SEEDS ?? '1').split(',').map(Number);
const ENTRIES = Number(process.env.SOAK_ENTRIES ?? SIZE.entries);

test.each(SEEDS)('seed %i breaks no promise', async seed => {
  const folder = join('dist', 'soak', String(seed));
  const size = {...SIZE, entries: ENTRIES};
  const outcome = await playSoak(seed, size, folder);
  console.log(`seed ${seed}: ${JSON.stringify(outcome)}`);
  expect(outcome.broken).toEqual([]);
  expect(outcome.servedAfterwards).toBeGreaterThan(0.9);
  rmSync(folder, {recursive: true});
});
