import type {Member} from '@hibiscusbeam/core';
import {expect, test} from 'vitest';
import {createSwarmCandidates} from '../../packages/daemon/src/agent/swarm_candidates';

const agent = (liveness: Member['liveness']): Member => ({
  instance: 'engine-2',
  role: 'agent',
  address: '10.0.1.2:7400',
  zone: 'bilbao-hall',
  region: 'norte',
  incarnation: 0,
  liveness,
  since: 0,
});

const NOBODY: ReadonlySet<string> = new Set();

const CHOSEN: ReadonlySet<string> = new Set(['engine-2']);

// Agents without a session between them see one another as dead. If these were
// excluded, a rollout on a site that has been up for a minute would take one
// copy from the origin for each instance.
test('an agent that was never queried is a candidate, however long it is silent', () => {
  const candidates = createSwarmCandidates();
  for (const now of [0, 60_000, 600_000]) {
    expect(candidates.choose([agent('dead')], NOBODY, now)).toHaveLength(1);
  }
});

test('a neighbour that stays silent is excluded and retried later', () => {
  const candidates = createSwarmCandidates();
  const at = (chosen: ReadonlySet<string>, now: number) =>
    candidates.choose([agent('dead')], chosen, now).length;
  expect(at(CHOSEN, 0)).toBe(1);
  expect(at(CHOSEN, 5_999)).toBe(1);
  expect(at(CHOSEN, 6_000)).toBe(0);
  expect(at(NOBODY, 6_250)).toBe(0);
  expect(at(NOBODY, 36_000)).toBe(1);
});
