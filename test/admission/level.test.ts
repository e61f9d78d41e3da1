import {
  admissionLevel,
  createDemandMeter,
  createLevelAdmission,
  createSlotTimes,
  createSiteDemand,
  createWorkspaceAdmission,
  shareAt,
  type ServiceDemand,
} from '@hibiscusbeam/core';
import fc from 'fast-check';
import {expect, test} from 'vitest';

const demandArbitrary = fc
  .uniqueArray(
    fc.tuple(fc.integer({min: 0, max: 9}), fc.double({min: 0.01, max: 500})),
    {selector: ([priority]) => priority, minLength: 1, maxLength: 6},
  )
  .map(entries => new Map(entries.filter(([, places]) => places > 0)));

test('admitted requests fill the capacity but never exceed it', () => {
  const capacity = fc.double({min: 0, max: 1_000, noNaN: true});
  fc.assert(
    fc.property(demandArbitrary, capacity, (demand, places) => {
      const level = admissionLevel(demand, places);
      const admitted = level.shares.reduce(
        (sum, {priority, share}) => sum + share * demand.get(priority)!,
        0,
      );
      expect(admitted).toBeCloseTo(Math.min(level.demand, places), 6);
      const shares = level.shares.map(({share}) => share);
      for (const [index, share] of shares.entries()) {
        expect(share).toBeLessThan((shares[index - 1] ?? 1) + 1e-9);
      }
      const floor = Math.min(0.25, places / level.demand);
      expect(Math.min(...shares)).toBeGreaterThan(floor - 1e-9);
    }),
    {seed: 14},
  );
});

test('the first priority that does not fit is admitted by a share', () => {
  const demand = new Map([
    [0, 40],
    [1, 40],
    [2, 40],
  ]);
  const {shares} = admissionLevel(demand, 80);
  expect(shares.map(({share}) => share)).toEqual([1, 0.75, 0.25]);
});

test('a priority without demand gets the share of the next more urgent one', () => {
  const level = admissionLevel(new Map([[3, 100]]), 50);
  expect(shareAt(level, 1)).toBe(1);
  expect(shareAt(level, 5)).toBe(0.5);
});

test('priorities that messages cannot carry count as the nearest valid one', () => {
  const meter = createDemandMeter();
  for (const priority of [-3, NaN, 0.5]) {
    meter.record({service: 'engines', priority, slotTime: 100}, 1_000);
  }
  const demands = meter.demands(1_000, () => 0);
  expect(demands).toMatchObject([{priority: 0, places: 0.3}]);
});

test('demand from more than a second ago no longer counts', () => {
  const meter = createDemandMeter();
  meter.record({service: 'engines', priority: 0, slotTime: 500}, 0);
  expect(meter.demands(1_000, () => 0)).toHaveLength(1);
  expect(meter.demands(1_101, () => 0)).toEqual([]);
});

const ONE: ServiceDemand = {
  service: 'engines',
  priority: 1,
  places: 10,
  waiting: 0,
};

function createSite(options: {readonly follows?: boolean} = {}) {
  return createSiteDemand({
    zone: 'north',
    own: () => [ONE],
    entries: () => 40,
    followsRelay: () => options.follows ?? false,
  });
}

const placesOf = (site: ReturnType<typeof createSite>, now: number) =>
  site.demandFor('engines', now).get(1);

test('an entry that is cut off counts its own demand for each entry known', () => {
  const site = createSite({follows: true});
  site.recordZones([{zone: 'north', demands: [ONE], receivedAt: 1_000}]);
  expect(placesOf(site, 3_999)).toBe(10);
  expect(placesOf(site, 4_000)).toBe(400);
});

test('an entry that resumes after a freeze drops older demand', () => {
  const site = createSite();
  site.recordFollower('other', [ONE], 0);
  site.recordZones([{zone: 'south', demands: [ONE], receivedAt: 0}]);
  expect(placesOf(site, 1_000)).toBe(30);
  site.recordFollower('other', [ONE], 9_000);
  expect(placesOf(site, 9_000)).toBe(20);
});

test('a relay that takes over keeps the previous sum until its followers report', () => {
  const site = createSite();
  const former = {
    zone: 'north',
    demands: [{...ONE, places: 90}],
    receivedAt: 0,
  };
  site.recordZones([former]);
  site.recordFollower('other', [ONE], 500);
  expect(placesOf(site, 500)).toBe(90);
  expect(placesOf(site, 3_000)).toBe(20);
});

test('a sum that is older than the known one is dropped', () => {
  const site = createSite({follows: true});
  const newer = {zone: 'north', demands: [ONE], receivedAt: 500};
  site.recordZones([newer, {zone: 'north', demands: [], receivedAt: 400}]);
  expect(placesOf(site, 600)).toBe(10);
});

test('a workspace with a burst gets only what the others leave', () => {
  const workspaces = createWorkspaceAdmission(() => 0.5);
  const admitted = {burst: 0, calm: 0};
  for (let now = 0; now < 20_000; now += 10) {
    const workspace = now % 70 === 0 ? 'calm' : 'burst';
    if (workspaces.admits({workspace, slotTime: 100}, 0.5, now)) {
      admitted[workspace] += 1;
    }
  }
  // 286 were requested.
  expect(admitted.calm).toBeGreaterThan(270);
  expect(admitted.burst + admitted.calm).toBeGreaterThan(990);
  expect(admitted.burst + admitted.calm).toBeLessThan(1_010);
});

test('few requests per entry are admitted by their share on average', () => {
  let admitted = 0;
  for (let entry = 0; entry < 1_000; entry += 1) {
    const workspaces = createWorkspaceAdmission(() => entry / 1_000);
    const request = {workspace: 'one', slotTime: 100};
    if (workspaces.admits(request, 0.4, 0)) admitted += 1;
  }
  expect(admitted).toBeGreaterThan(350);
  expect(admitted).toBeLessThan(450);
});

function createAdmission(capacity: {places: number; free: number}) {
  return createLevelAdmission({
    instance: 'entry',
    demand: () => new Map([[1, 400]]),
    capacity: () => ({
      ...capacity,
      pacedPlaces: capacity.places,
      loading: 0,
    }),
    entries: () => 1,
  });
}

const REQUEST = {
  service: 'engines',
  priority: 1,
  workspace: 'one',
  slotTime: 1_000,
};

test('without a known engine no request is refused by a level', () => {
  const admission = createAdmission({places: 0, free: 0});
  for (let now = 0; now < 2_000; now += 50) {
    expect(admission.decide(REQUEST, 0, now).kind).toBe('noLevel');
  }
});

test('a slot that nobody else needs is given to a request below the level', () => {
  const admission = createAdmission({places: 100, free: 20});
  const kinds = Array.from(
    {length: 100},
    (_, index) => admission.decide(REQUEST, 0, index * 10).kind,
  );
  const spare = kinds.filter(kind => kind === 'spare').length;
  // 15 slots beyond a twentieth, filled at the start and once in 300 ms.
  expect(spare).toBeGreaterThan(45);
  expect(spare).toBeLessThan(65);
  const busy = createAdmission({places: 100, free: 20});
  expect(busy.decide(REQUEST, 3, 0).kind).not.toBe('spare');
});

test('hints that are far off change the learned slot time within bounds', () => {
  const times = createSlotTimes();
  expect(times.slotTime('engines', 100)).toBe(100);
  times.record('engines', {expected: 0, held: 1e9}, 0);
  expect(times.slotTime('engines', 100)).toBe(500);
  times.record('other', {expected: 1e9, held: 10}, 0);
  expect(times.slotTime('other', 100)).toBe(20);
});

test('a request without a hint gets the mean time of previous ones', () => {
  const times = createSlotTimes();
  times.record('engines', {expected: undefined, held: 800}, 0);
  times.record('engines', {expected: 100, held: 1_200}, 0);
  expect(times.slotTime('engines', undefined)).toBe(1_000);
});
