import {afterEach, beforeEach, expect, test} from 'vitest';
import {
  startTwoTargetSite,
  type TwoTargetSite,
} from './fixtures/two_target_site';

const PAIRS = 15;

let fixture: TwoTargetSite;

beforeEach(async () => {
  fixture = await startTwoTargetSite({instances: ['leaving', 'staying']});
});

afterEach(() => fixture.close());

async function sendPairs(): Promise<readonly number[]> {
  const statuses: number[] = [];
  for (let sent = 0; sent < PAIRS; sent += 1) {
    statuses.push(...(await fixture.sendPair()));
  }
  return statuses;
}

test('a target that announces in its answers that it is leaving gets no more requests', async () => {
  const {first: leaving, sendUntilItReaches} = fixture;
  leaving.setLeaving(true);
  await sendUntilItReaches(leaving);
  const before = leaving.arrivals.length;
  expect(new Set(await sendPairs())).toEqual(new Set([200]));
  expect(leaving.arrivals.length).toBe(before);
});
