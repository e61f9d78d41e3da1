import {afterEach, beforeEach, expect, test} from 'vitest';
import {
  startTwoTargetSite,
  type TwoTargetSite,
} from './fixtures/two_target_site';

const SECOND_MS = 1_000;
const PAUSE_BETWEEN_PAIRS_MS = 25;

const BACKOFF_SECONDS = 4;

/** Requests that may still reach the target during its backoff. */
const MAX_ATTEMPTS = 2;

let fixture: TwoTargetSite;

beforeEach(async () => {
  fixture = await startTwoTargetSite({instances: ['shedding', 'calm']});
});

afterEach(() => fixture.close());

async function sendPairsFor(duration: number): Promise<readonly number[]> {
  const statuses: number[] = [];
  const until = performance.now() + duration;
  while (performance.now() < until) {
    statuses.push(...(await fixture.sendPair()));
    await new Promise(resolve => setTimeout(resolve, PAUSE_BETWEEN_PAIRS_MS));
  }
  return statuses;
}

test('a target that asks an entry to back off gets no more of its requests', async () => {
  const {first: shedding, sendUntilItReaches} = fixture;
  shedding.setFault({kind: 'shedding', retryAfter: BACKOFF_SECONDS});
  await sendUntilItReaches(shedding);
  const refusedAt = shedding.arrivals.at(-1)!.at;
  const statuses = await sendPairsFor(BACKOFF_SECONDS * SECOND_MS);
  const within = shedding.arrivals.filter(
    ({at}) => at > refusedAt && at < refusedAt + BACKOFF_SECONDS * SECOND_MS,
  );
  expect(within.length).toBeLessThanOrEqual(MAX_ATTEMPTS);
  expect(new Set(statuses)).toEqual(new Set([200]));
});
