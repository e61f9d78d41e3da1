import {afterEach, beforeEach, expect, test} from 'vitest';
import {eventually} from './fixtures/host_site';
import {
  startTwoTargetSite,
  type TwoTargetSite,
} from './fixtures/two_target_site';

const RATE = 4;
const SECONDS = 3;
const COLD_MS = 60_000;

let fixture: TwoTargetSite;

beforeEach(async () => {
  const Services = [{Name: 'plain', ColdStartS: 60, ColdPerS: RATE}];
  fixture = await startTwoTargetSite({
    instances: ['cold', 'warm'],
    registration: {ColdRemainingMs: COLD_MS},
    configuration: {Services},
  });
});

afterEach(() => fixture.close());

test('a cold target gets requests at its rate, and more once it is warm', async () => {
  const {site, first: cold, sendPair} = fixture;
  const until = performance.now() + SECONDS * 1_000;
  while (performance.now() < until) await sendPair();
  const took = performance.now() - until + SECONDS * 1_000;
  const whileCold = cold.runs.length;
  expect(whileCold).toBeGreaterThan(0);
  expect(whileCold).toBeLessThanOrEqual(1.5 * RATE * (took / 1_000) + 5);
  site.register(cold, {ColdRemainingMs: 0, Sequence: 2});
  await eventually(() =>
    site.lines.some(({message}) => message === 'target is cold no longer'),
  );
  await eventually(async () => {
    await sendPair();
    return cold.runs.length > whileCold + 60;
  });
});
