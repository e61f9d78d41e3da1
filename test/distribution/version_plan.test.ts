import {
  createVersionPlan,
  VERSION_BOUND_MARGIN,
  type LoadOffset,
  type PlannedVersion,
  type VersionPlanOptions,
} from '@hibiscusbeam/core';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {propertyRuns} from '../forwarding/property_runs';

const BOUND = 8_000;

/** Times of a site: to move a version, to load one, and with nothing running. */
const TRANSFER_TIME = 4_400;
const LOAD_TIME = 2_300;
const IDLE_LOAD_TIME = 400;

const STEP = 100;

/** The place of the last of many engines. */
const LAST_OFFSET = 0.95;

function planOf(
  place: LoadOffset,
  changes: Partial<VersionPlanOptions<PlannedVersion>> = {},
) {
  return createVersionPlan<PlannedVersion>({
    bound: BOUND,
    place: () => place,
    isIndependentOfOrigin: () => true,
    fitsOutsideStaging: () => true,
    ...changes,
  });
}

function named(version: number, knownSince: number): PlannedVersion {
  return {version, knownSince};
}

const serving = (served: number) => ({served, isLoading: false});

test('an engine that serves nothing loads at once', () => {
  const plan = planOf(LAST_OFFSET);
  plan.observe({served: undefined, isLoading: false}, 0);
  expect(plan.addVersion(named(1, 0), 0)).toMatchObject({kind: 'stage'});
  expect(plan.mayLoad(0)).toBe(true);
});

test('a version that is named soon after another takes its place', () => {
  const plan = planOf(0);
  plan.observe(serving(1), 0);
  plan.addVersion(named(2, 0), 0);
  plan.addVersion(named(3, 2_000), 2_000);
  const step = plan.observe(serving(1), 2_100);
  expect(step).toMatchObject({kind: 'stage', replacedVersions: [{version: 2}]});
});

// Version 3 is named two seconds after version 2, and the origin is lost before
// it has sent all of it. Given up for it, version 2 would be there, and engines
// could begin nothing for six seconds.
test('a version is given up only for one that can be had', () => {
  let isSecured = false;
  const plan = planOf(0, {
    isIndependentOfOrigin: ({version}) => version === 2 || isSecured,
  });
  plan.observe(serving(1), 0);
  plan.addVersion(named(2, 0), 0);
  expect(plan.addVersion(named(3, 2_000), 2_000)).toMatchObject({
    kind: 'prepare',
  });
  expect(plan.observe(serving(1), 4_300)).toBeUndefined();
  plan.recordTransferred(4_400);
  expect(plan.mayLoad(4_500)).toBe(true);
  isSecured = true;
  const step = plan.observe(serving(1), 4_500);
  expect(step).toMatchObject({kind: 'stage', version: {version: 3}});
});

test('a version is skipped only for one that can be had', () => {
  const mayLoad = [true, false].map(isSecured => {
    const plan = planOf(0.5, {
      isIndependentOfOrigin: ({version}) => version === 2 || isSecured,
    });
    plan.observe(serving(1), 0);
    plan.addVersion(named(2, 0), 0);
    plan.addVersion(named(3, 3_000), 3_000);
    plan.recordTransferred(4_400);
    return plan.mayLoad(5_900);
  });
  expect(mayLoad).toEqual([false, true]);
});

// The store comes back and tells of two versions at the same moment. Moved one
// behind the other, the newer one comes seconds later than alone.
test('a version that still needs its origin is given up at once', () => {
  const plan = planOf(0, {isIndependentOfOrigin: () => false});
  plan.observe(serving(1), 0);
  plan.addVersion(named(2, 0), 0);
  const step = plan.addVersion(named(3, 200), 200);
  expect(step).toMatchObject({kind: 'stage', replacedVersions: [{version: 2}]});
});

test('a version too large to wait is staged in place of one just named', () => {
  const plan = planOf(0, {fitsOutsideStaging: () => false});
  plan.observe(serving(1), 0);
  plan.addVersion(named(2, 0), 0);
  const step = plan.addVersion(named(3, 2_000), 2_000);
  expect(step).toMatchObject({kind: 'stage', replacedVersions: [{version: 2}]});
});

test('an older version than known changes nothing', () => {
  const plan = planOf(0);
  plan.addVersion(named(3, 0), 0);
  expect(plan.addVersion(named(2, 10), 10)).toBeUndefined();
  expect(plan.newest()).toBe(3);
});

// Version 3 is named while version 2 waits for its load. Staged at once, its
// chunks would overwrite those of version 2, which then comes after its bound.
test('the first engine loads a version before the one that follows it', () => {
  const plan = planOf(0);
  plan.observe(serving(1), 0);
  plan.addVersion(named(2, 0), 0);
  plan.observe(serving(1), 4_000);
  expect(plan.addVersion(named(3, 4_000), 4_000)).toMatchObject({
    kind: 'prepare',
  });
  expect(plan.current()?.version).toBe(2);
  plan.recordTransferred(4_400);
  expect(plan.mayLoad(4_500)).toBe(true);
  const step = plan.observe({served: 1, isLoading: true}, 4_600);
  expect(step).toMatchObject({kind: 'stage', version: {version: 3}});
});

// Two loads within four seconds would each stop the engine for two of them.
test('the last engine skips a version that is soon replaced', () => {
  const plan = planOf(LAST_OFFSET);
  plan.observe(serving(1), 0);
  plan.addVersion(named(2, 0), 0);
  plan.observe(serving(1), 4_000);
  plan.addVersion(named(3, 4_000), 4_000);
  plan.recordTransferred(4_400);
  const end = BOUND - VERSION_BOUND_MARGIN;
  expect(plan.mayLoad(end - 100)).toBe(false);
  const step = plan.observe(serving(1), end);
  expect(step).toMatchObject({kind: 'stage', replacedVersions: [{version: 2}]});
  expect(plan.mayLoad(end)).toBe(true);
});

/** An engine at a place, with the times of a site. */
function simulateEngine(place: LoadOffset) {
  const plan = planOf(place);
  const namedAt = new Map<number, number>([[1, -Infinity]]);
  let served: number | undefined = 1;
  let loading: {version: number; until: number} | undefined;

  function mayStart(now: number): boolean {
    if (served === undefined || loading !== undefined) return false;
    const own = served;
    return ![...namedAt].some(
      ([version, at]) =>
        version > own && now - at >= BOUND - VERSION_BOUND_MARGIN,
    );
  }

  return {
    take(version: number, now: number) {
      namedAt.set(version, now);
      plan.addVersion(named(version, now), now);
    },
    advance(now: number) {
      if (loading !== undefined && now >= loading.until) {
        served = loading.version;
        loading = undefined;
      }
      plan.observe({served, isLoading: loading !== undefined}, now);
      const next = plan.current();
      if (next === undefined) return;
      if (now - next.knownSince < TRANSFER_TIME) return;
      plan.recordTransferred(now);
      if (!plan.mayLoad(now)) return;
      const time = mayStart(now) ? LOAD_TIME : IDLE_LOAD_TIME;
      loading = {version: next.version, until: now + time};
    },
    mayStart,
    served: () => served,
  };
}

/** Sum over engines of the time in which each may start nothing. */
function measureBlockedTime(
  engines: readonly ReturnType<typeof simulateEngine>[],
  gap: number,
) {
  let allBlockedTime = 0;
  let meanBlockedTime = 0;
  for (let now = 0; now <= 40_000; now += STEP) {
    for (const engine of engines) {
      if (now === 0) engine.take(2, now);
      if (now === gap * STEP) engine.take(3, now);
      engine.advance(now);
    }
    const blocked = engines.filter(engine => !engine.mayStart(now)).length;
    if (blocked === engines.length) allBlockedTime += STEP;
    meanBlockedTime += (blocked * STEP) / engines.length;
  }
  return {allDark: allBlockedTime, standing: meanBlockedTime};
}

// All engines stand still at the same time, and all callers are refused.
test('all engines are dark together for 0.7 s at most', () => {
  fc.assert(
    fc.property(fc.integer({min: 0, max: 200}), gap => {
      const engines = [0, 0.25, 0.5, 0.75].map(simulateEngine);
      const {allDark: allBlockedTime} = measureBlockedTime(engines, gap);
      expect(engines.map(engine => engine.served())).toEqual([3, 3, 3, 3]);
      expect(allBlockedTime).toBeLessThanOrEqual(700);
    }),
    propertyRuns,
  );
});
