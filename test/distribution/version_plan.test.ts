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

/**
 * Times of a site to transfer a version, to load one, and to load one on an
 * idle engine.
 */
const TRANSFER_TIME = 4_400;
const LOAD_TIME = 2_300;
const IDLE_LOAD_TIME = 400;

const STEP = 100;

/** Load offset of the last of many engines. */
const LAST_OFFSET = 0.95;

function planOf(
  loadOffset: LoadOffset,
  changes: Partial<VersionPlanOptions<PlannedVersion>> = {},
) {
  return createVersionPlan<PlannedVersion>({
    bound: BOUND,
    place: () => loadOffset,
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

test('a version that is named soon after another replaces it', () => {
  const plan = planOf(0);
  plan.observe(serving(1), 0);
  plan.addVersion(named(2, 0), 0);
  plan.addVersion(named(3, 2_000), 2_000);
  const step = plan.observe(serving(1), 2_100);
  expect(step).toMatchObject({kind: 'stage', replacedVersions: [{version: 2}]});
});

// Version 3 is named two seconds after version 2, and the origin fails before
// it has sent all of it. If version 2 were dropped for it, engines could start
// nothing for six seconds although version 2 is available.
test('a version is replaced only by one that is available without its origin', () => {
  let isAvailable = false;
  const plan = planOf(0, {
    isIndependentOfOrigin: ({version}) => version === 2 || isAvailable,
  });
  plan.observe(serving(1), 0);
  plan.addVersion(named(2, 0), 0);
  expect(plan.addVersion(named(3, 2_000), 2_000)).toMatchObject({
    kind: 'prepare',
  });
  expect(plan.observe(serving(1), 4_300)).toBeUndefined();
  plan.recordTransferred(4_400);
  expect(plan.mayLoad(4_500)).toBe(true);
  isAvailable = true;
  const step = plan.observe(serving(1), 4_500);
  expect(step).toMatchObject({kind: 'stage', version: {version: 3}});
});

test('a version is skipped only for one that is available without its origin', () => {
  const mayLoad = [true, false].map(isAvailable => {
    const plan = planOf(0.5, {
      isIndependentOfOrigin: ({version}) => version === 2 || isAvailable,
    });
    plan.observe(serving(1), 0);
    plan.addVersion(named(2, 0), 0);
    plan.addVersion(named(3, 3_000), 3_000);
    plan.recordTransferred(4_400);
    return plan.mayLoad(5_900);
  });
  expect(mayLoad).toEqual([false, true]);
});

// The store comes back and announces two versions at once. If they were
// transferred one after the other, the newer one would arrive seconds later
// than alone.
test('a version that still needs its origin is replaced at once', () => {
  const plan = planOf(0, {isIndependentOfOrigin: () => false});
  plan.observe(serving(1), 0);
  plan.addVersion(named(2, 0), 0);
  const step = plan.addVersion(named(3, 200), 200);
  expect(step).toMatchObject({kind: 'stage', replacedVersions: [{version: 2}]});
});

test('a version too large to wait outside staging replaces one just named', () => {
  const plan = planOf(0, {fitsOutsideStaging: () => false});
  plan.observe(serving(1), 0);
  plan.addVersion(named(2, 0), 0);
  const step = plan.addVersion(named(3, 2_000), 2_000);
  expect(step).toMatchObject({kind: 'stage', replacedVersions: [{version: 2}]});
});

test('a version older than the newest known one is ignored', () => {
  const plan = planOf(0);
  plan.addVersion(named(3, 0), 0);
  expect(plan.addVersion(named(2, 10), 10)).toBeUndefined();
  expect(plan.newest()).toBe(3);
});

// Version 3 is named while version 2 waits for its load. If it were staged at
// once, its chunks would overwrite those of version 2, which would then miss
// its bound.
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

// Two loads within four seconds would block the engine for two seconds each.
test('the last engine skips a version that is soon superseded', () => {
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

/** Simulates an engine with a load offset and the times of a site. */
function simulateEngine(loadOffset: LoadOffset) {
  const plan = planOf(loadOffset);
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

/**
 * Measures the time during which no engine, and on average each engine, may
 * start nothing.
 */
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
  return {allBlockedTime, standing: meanBlockedTime};
}

// If all engines are blocked at the same time, all requests are refused.
test('all engines are blocked together for at most 0.7 s', () => {
  fc.assert(
    fc.property(fc.integer({min: 0, max: 200}), gap => {
      const engines = [0, 0.25, 0.5, 0.75].map(simulateEngine);
      const {allBlockedTime} = measureBlockedTime(engines, gap);
      expect(engines.map(engine => engine.served())).toEqual([3, 3, 3, 3]);
      expect(allBlockedTime).toBeLessThanOrEqual(700);
    }),
    propertyRuns,
  );
});
