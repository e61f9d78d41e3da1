import {rmSync} from 'node:fs';
import {join} from 'node:path';
import {expect, test} from 'vitest';
import {runSoak, type FaultSet} from './soak';

const SIZE = {entries: 4, engines: 6, duration: 14_000};

/** `SOAK_SEEDS=7,8` plays others; `SOAK_ENTRIES` sets how many entries. */
const SEEDS = (process.env.SOAK_SEEDS ?? '1').split(',').map(Number);
const ENTRIES = Number(process.env.SOAK_ENTRIES ?? SIZE.entries);

async function expectNoViolations(
  seed: number,
  faultSet: FaultSet,
): Promise<void> {
  const folder = join('dist', 'soak', `${seed}-${faultSet}`);
  const size = {...SIZE, entries: ENTRIES};
  const outcome = await runSoak(seed, size, faultSet, folder);
  console.log(`seed ${seed}, ${faultSet}: ${JSON.stringify(outcome)}`);
  expect(outcome.violations).toEqual([]);
  expect(outcome.servedAfterwards).toBeGreaterThan(0.9);
  rmSync(folder, {recursive: true});
}

test.each(SEEDS)('seed %i breaks no promise', async seed => {
  await expectNoViolations(seed, 'basic');
});

test.each(SEEDS)(
  'seed %i breaks no promise to targets that leave or ask to back off',
  async seed => {
    await expectNoViolations(seed, 'statements');
  },
);

test.each(SEEDS)(
  'seed %i breaks no promise while its store comes back from copies',
  async seed => {
    await expectNoViolations(seed, 'restores');
  },
);

test.each(SEEDS)(
  'seed %i breaks no promise while sound targets fall silent and go on',
  async seed => {
    await expectNoViolations(seed, 'silences');
  },
);

test.each(SEEDS)(
  'seed %i breaks no promise while zones are evacuated and return cold',
  async seed => {
    await expectNoViolations(seed, 'evacuations');
  },
);

test.each(SEEDS)(
  'seed %i breaks no promise when all entries lose power after a configuration',
  async seed => {
    await expectNoViolations(seed, 'powerLosses');
  },
);
