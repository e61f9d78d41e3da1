import {rmSync} from 'node:fs';
import {join} from 'node:path';
import {expect, test} from 'vitest';
import type {FaultSet} from './fault_sets';
import {runSoak} from './soak';

const SIZE = {entries: 4, engines: 6, duration: 14_000};

/** SOAK_SEEDS=7,8 selects seeds; SOAK_ENTRIES sets the number of entries. */
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
  expect(outcome.violations, outcome.violations.join('; ')).toEqual([]);
  expect(outcome.servedAfterwards).toBeGreaterThan(0.9);
  rmSync(folder, {recursive: true});
}

test.each(SEEDS)(
  'seed %i violates no invariant under basic faults',
  async seed => {
    await expectNoViolations(seed, 'basic');
  },
);

test.each(SEEDS)(
  'seed %i violates no invariant when targets leave or ask to back off',
  async seed => {
    await expectNoViolations(seed, 'statements');
  },
);

test.each(SEEDS)(
  'seed %i violates no invariant when the store is restored from copies',
  async seed => {
    await expectNoViolations(seed, 'restores');
  },
);

test.each(SEEDS)(
  'seed %i violates no invariant when healthy targets fall silent and resume',
  async seed => {
    await expectNoViolations(seed, 'silences');
  },
);

test.each(SEEDS)(
  'seed %i violates no invariant when zones are evacuated and return cold',
  async seed => {
    await expectNoViolations(seed, 'evacuations');
  },
);

test.each(SEEDS)(
  'seed %i violates no invariant when all entries lose power after a configuration',
  async seed => {
    await expectNoViolations(seed, 'powerLosses');
  },
);

test.each(SEEDS)(
  'seed %i violates no invariant when a part of prompts crashes targets',
  async seed => {
    await expectNoViolations(seed, 'promptParts');
  },
);
