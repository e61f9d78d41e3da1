import {AGENT_TRANSFER_POLICY, type TransferPolicy} from '@hibiscusbeam/core';
import {runSwarm, type SiteAgent} from '@hibiscusbeam/laboratory';
import {expect, test} from 'vitest';

/** Bytes a second of links of 6.58 and 15 Mbit/s. */
const LINK_RATE = 822_500;
const ORIGIN_RATE = 1_875_000;

const CHUNKS = 48;
const CHUNK_SIZE = 49_152;
const VERSION_BYTES = CHUNKS * CHUNK_SIZE;

/** What a link needs for a version. */
const LINK_TIME = (VERSION_BYTES * 1000) / LINK_RATE;

/** Until an agent knows the others, has heard of a version and has settled. */
const START_DELAY = 150 + 100 + AGENT_TRANSFER_POLICY.settleTime;

function agents(
  count: number,
  changes: (index: number) => Partial<SiteAgent>,
): readonly SiteAgent[] {
  return Array.from({length: count}, (_, index) => ({
    instance: `engine-${index}`,
    zone: `zone-${index % 3}`,
    joinsAt: 0,
    holds: false,
    linkRate: LINK_RATE,
    linkShare: 1,
    ...changes(index),
  }));
}

function runSite(
  members: readonly SiteAgent[],
  changes: Partial<TransferPolicy> = {},
  originStartsAt = 0,
  seed = 1,
) {
  return runSwarm({
    agents: members,
    originRate: ORIGIN_RATE,
    originStartsAt,
    chunks: CHUNKS,
    chunkSize: CHUNK_SIZE,
    latency: (from, to) => (from === to ? 0.2 : 2.8),
    storeTime: 5,
    seed,
    policy: {...AGENT_TRANSFER_POLICY, ...changes},
  });
}

function lastReady(results: ReturnType<typeof runSwarm>): number {
  return Math.max(...results.map(({readyAt}) => readyAt ?? Infinity));
}

test('one agent alone needs what its link needs', () => {
  const [only] = runSite(agents(1, () => ({})));
  const minTime = LINK_TIME / (1 - AGENT_TRANSFER_POLICY.headroom);
  expect(only!.readyAt).toBeGreaterThan(minTime);
  expect(only!.readyAt).toBeLessThan(minTime + START_DELAY + 100);
  expect(only!.originBytes).toBe(VERSION_BYTES);
});

// Engines join a site whose others hold the version. Until they have it the
// site is short of them: 3,313 ms each with a tenth of the link left free,
// 3,084 ms with what reports need.
test('an engine that joins waits for little but its own link', () => {
  const members = agents(19, index =>
    index < 11
      ? {holds: true, linkShare: AGENT_TRANSFER_POLICY.shareBesideLive}
      : {joinsAt: (index - 11) * 500},
  );
  const results = runSite(members);
  const times = results
    .map(({readyAt}, index) => readyAt! - members[index]!.joinsAt)
    .slice(11);
  const mean = times.reduce((sum, time) => sum + time, 0) / times.length;
  expect(mean).toBeLessThan(3_150);
  expect(results.every(({originBytes}) => originBytes === 0)).toBe(true);
});

// A version that was named while the origin was away is late when the origin
// comes back, and no engine may begin anything before it has it. The last of 19
// had it after 4,055 ms with four downloads, three uploads and a tenth of the
// link left free.
test('all engines have a late version soon after the origin is back', () => {
  const results = runSite(agents(19, () => ({})));
  expect(lastReady(results)).toBeLessThan(3_900);
  const sent = results.reduce((sum, {originBytes}) => sum + originBytes, 0);
  expect(sent).toBe(VERSION_BYTES);
});

test('a lost origin is asked again soon after it is back', () => {
  const members = agents(3, () => ({}));
  const before = lastReady(runSite(members));
  const after = lastReady(runSite(members, {}, 5_000));
  expect(after - 5_000).toBeLessThan(
    before + AGENT_TRANSFER_POLICY.longestOriginWait,
  );
});

// An agent freezes soon after a version was named. It was to fetch a part of it
// from the origin, and what it had already told of went with it. The others asked
// for that part only after seconds: the last of them had the version after 8,334
// ms if the freeze came at 500 ms, past its bound, and no engine might begin
// anything for two seconds. Now it is 4,591 to 4,618 ms; 4,618 if nobody freezes.
test('an agent that freezes holds up the others for little', () => {
  const last = [200, 300, 400, 500, 600, 800, 1_000].map(frozenFrom => {
    const members = agents(15, index => ({
      linkShare: AGENT_TRANSFER_POLICY.shareBesideLive,
      ...(index === 4 ? {frozenFrom} : {}),
    }));
    return lastReady(runSite(members).filter((_, index) => index !== 4));
  });
  expect(Math.max(...last)).toBeLessThan(4_800);
});

// Members that are no neighbours of one that freezes hear nothing of it, and one
// of them is to take its part over. Of ten sites the last engine of the worst had
// the version after 10,895 ms with a patience of eight times a chunk's time, after
// 6,099 with three.
test('a part that nobody knows to be lost is asked for soon', () => {
  const last = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10].map(seed => {
    const members = agents(19, index => ({
      instance: `engine-${seed}-${index}`,
      linkShare: AGENT_TRANSFER_POLICY.shareBesideLive,
      ...(index === 0 ? {frozenFrom: 300} : {}),
    }));
    return lastReady(runSite(members, {}, 0, seed).slice(1));
  });
  expect(Math.max(...last)).toBeLessThan(6_500);
});

// The rate of a site must not fall with its size. Here 41 engines of three zones:
// each chunk came to another zone only by one of the few neighbours that its copier
// has there, and all of a zone queued for it at one member. The last engine had
// the version after 5,511 ms, where its link needs 3,150, and now after 4,496 (means
// of six seeds).
test('a version reaches 41 engines in half as much again as one link needs', () => {
  const rate = (5.32 * 1e6) / 8;
  const chunks = 64;
  const chunkSize = 32_768;
  const seeds = [1, 2, 3];
  const runs = seeds.map(seed =>
    runSwarm({
      agents: agents(41, index => ({
        instance: `engine-${seed}-${index}`,
        linkRate: rate,
      })),
      originRate: (5.94 * 1e6) / 8,
      originStartsAt: 0,
      chunks,
      chunkSize,
      latency: (from, to) => (from === to ? 0.2 : 1),
      storeTime: 5,
      seed,
      policy: AGENT_TRANSFER_POLICY,
    }),
  );
  const bytes = chunks * chunkSize;
  const mean = (values: readonly number[]): number =>
    values.reduce((sum, value) => sum + value, 0) / values.length;
  const linkTime = (bytes * 1_000) / rate;
  expect(mean(runs.map(lastReady))).toBeLessThan(1.5 * linkTime);
  const results = runs.flat();
  const copies = (field: 'originBytes' | 'crossZoneBytes'): number =>
    results.reduce((sum, result) => sum + result[field], 0) /
    (bytes * seeds.length);
  expect(copies('originBytes')).toBeLessThanOrEqual(1.05);
  // One into each of the two zones that the origin's fetcher is not in.
  expect(copies('crossZoneBytes')).toBeLessThanOrEqual(2.1);
});

test('agents that learn of a version late wait for no fetcher that others expect', () => {
  const originStartsAt = 6_500;
  const members = agents(19, index => {
    if (index < 3) return {leavesAt: 4_000};
    return index < 8 ? {versionKnownAt: originStartsAt + 100} : {};
  });
  for (const seed of [1, 2, 3, 4, 5]) {
    const results = runSite(members, {}, originStartsAt, seed).slice(3);
    const duration = lastReady(results) - originStartsAt;
    expect(duration).toBeLessThan(1.5 * LINK_TIME + START_DELAY);
  }
});
