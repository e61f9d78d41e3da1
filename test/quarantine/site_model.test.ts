import {expect, test} from 'vitest';
import {playSite, type ModelledOutcome, type ModelledSite} from './site_model';

const SEEDS = [1, 2, 3, 4, 5];
const MAX_LATE_SENDS = 3;

const SITE: Omit<ModelledSite, 'seed'> = {
  entries: 10,
  targets: 12,
  evidence: 'requestAndParts',
  caution: 'none',
  crashingShare: 0.05,
  hasOutage: false,
};

function play(changes: Partial<ModelledSite>): readonly ModelledOutcome[] {
  return SEEDS.map(seed => playSite({...SITE, ...changes, seed}));
}

test.each([4, 10, 40])(
  '%i entries stop a part that crashes targets, and refuse no sound request',
  entries => {
    for (const outcome of play({entries})) {
      expect(outcome.lateSends).toBeLessThanOrEqual(MAX_LATE_SENDS);
      expect(outcome.soundRefused).toBe(0);
    }
  },
);

test('evidence filed under requests alone never stops a part that crashes targets', () => {
  for (const outcome of play({evidence: 'request'})) {
    expect(outcome.lateSends).toBeGreaterThan(MAX_LATE_SENDS);
  }
});

test.each([0, 0.05])(
  'an outage of half of the targets refuses no sound request, with a crashing share of %d',
  crashingShare => {
    for (const outcome of play({hasOutage: true, crashingShare})) {
      expect(outcome.lateSends).toBeLessThanOrEqual(MAX_LATE_SENDS);
      expect(outcome.soundRefused).toBe(0);
    }
  },
);
