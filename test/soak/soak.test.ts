import {rmSync} from 'node:fs';
import {join} from 'node:path';
import {expect, test} from 'vitest';
import {playSoak, type SoakTroubles} from './soak';

const SIZE = {entries: 4, engines: 6, duration: 14_000};

/** `SOAK_SEEDS=7,8` plays others; `SOAK_ENTRIES` sets how many entries. */
const SEEDS = (process.env.SOAK_SEEDS ?? '1').split(',').map(Number);
const ENTRIES = Number(process.env.SOAK_ENTRIES ?? SIZE.entries);

async function expectKeptPromises(
  seed: number,
  troubles: SoakTroubles,
): Promise<void> {
  const folder = join('dist', 'soak', `${seed}-${troubles}`);
  const size = {...SIZE, entries: ENTRIES};
  const outcome = await playSoak(seed, size, troubles, folder);
  console.log(`seed ${seed}, ${troubles}: ${JSON.stringify(outcome)}`);
  expect(outcome.broken).toEqual([]);
  expect(outcome.servedAfterwards).toBeGreaterThan(0.9);
  rmSync(folder, {recursive: true});
}

test.each(SEEDS)('seed %i breaks no promise', async seed => {
  await expectKeptPromises(seed, 'basic');
});

test.each(SEEDS)(
  'seed %i breaks no promise to targets that leave or ask to back off',
  async seed => {
    await expectKeptPromises(seed, 'statements');
  },
);

test.each(SEEDS)(
  'seed %i breaks no promise while its store comes back from copies',
  async seed => {
    await expectKeptPromises(seed, 'restores');
  },
);

test.each(SEEDS)(
  'seed %i breaks no promise while sound targets fall silent and go on',
  async seed => {
    await expectKeptPromises(seed, 'silences');
  },
);

test.each(SEEDS)(
  'seed %i breaks no promise while zones are evacuated and return cold',
  async seed => {
    await expectKeptPromises(seed, 'evacuations');
  },
);

test.each(SEEDS)(
  'seed %i breaks no promise when all entries lose power after a configuration',
  async seed => {
    await expectKeptPromises(seed, 'powerLosses');
  },
);
