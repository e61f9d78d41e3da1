import type {RoutingEvent} from '@hibiscusbeam/core';
import {createRouter} from '@hibiscusbeam/core';
import * as fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {propertySettings} from '../fixtures/property_settings';
import {
  MODEL,
  VERSION,
  chosenTarget,
  idleReport,
  modelRequest,
  routerWith,
  targetNames,
} from '../fixtures/routing_site';

const TARGETS = targetNames(4);

/**
 * Any event of a few attempts and targets, possibly duplicated or out of order.
 */
const anyEvent: fc.Arbitrary<RoutingEvent> = fc
  .record({
    now: fc.constant(0),
    kind: fc.constantFrom(
      'dispatched',
      'firstToken',
      'token',
      'finished',
      'refused',
      'failed',
      'reportReceived',
      'targetGone',
    ),
    attempt: fc.constantFrom('a', 'b', 'c', 'd', 'e'),
    target: fc.constantFrom(...TARGETS),
    tokens: fc.integer({min: -1, max: 9}),
    leaving: fc.boolean(),
    running: fc.nat({max: 20}),
    age: fc.nat({max: 9_000}),
    version: fc.constantFrom(VERSION, 'sha256:2'),
  })
  .map(({leaving, running, age, version, target, ...event}) => {
    const loaded = [{model: MODEL, versionDigest: version}];
    const report = idleReport(target, {leaving, running, age, loaded});
    return {...event, target, report} as RoutingEvent;
  });

/** Events in order, with pauses between them. */
const anyHistory = fc
  .array(fc.tuple(anyEvent, fc.nat({max: 700})), {maxLength: 60})
  .map(steps => {
    let now = 10_000;
    return steps.map(([event, pause]) => {
      now += pause;
      return {...event, now};
    });
  });

describe('a router', () => {
  test('chooses only joined targets that report the version', () => {
    fc.assert(
      fc.property(
        anyHistory,
        fc.constantFrom(VERSION, 'sha256:2', undefined),
        (history, versionDigest) => {
          const router = createRouter();
          const latest = new Map<string, RoutingEvent>();
          for (const event of history) {
            router.record(event);
            router.evaluate(event.now);
            if (event.kind === 'reportReceived') {
              latest.set(event.report.target, event);
            }
            if (event.kind === 'targetGone') latest.delete(event.target);
          }
          const work = {kind: 'model', model: MODEL, versionDigest} as const;
          const now = history.at(-1)?.now ?? 0;
          const exclude = [TARGETS[3]!];
          const chosen = router.chooseTarget(
            modelRequest(now, {work, exclude}),
          );
          const mayServe = [...latest.values()].filter(
            event =>
              event.kind === 'reportReceived' &&
              !event.report.leaving &&
              !exclude.includes(event.report.target) &&
              (versionDigest === undefined ||
                event.report.loaded[0]!.versionDigest === versionDigest),
          );
          expect(chosen.ok).toBe(mayServe.length > 0);
          if (!chosen.ok) return;
          const names = mayServe.map(event =>
            event.kind === 'reportReceived' ? event.report.target : '',
          );
          expect(names).toContain(chosen.val.target);
        },
      ),
      propertySettings(1_000),
    );
  });

  test('counts each attempt once, whatever the order of its events', () => {
    fc.assert(
      fc.property(anyHistory, history => {
        const router = createRouter();
        for (const event of history) {
          router.record(event);
          router.evaluate(event.now);
          const dump = router.dump(event.now);
          const own = dump.targets.map(target => target.ownInFlight);
          expect(own.reduce((sum, count) => sum + count, 0)).toBe(
            dump.inFlight,
          );
          expect(Math.min(0, ...own)).toBe(0);
        }
      }),
      propertySettings(500),
    );
  });

  test('keeps a prefix at its target while loads are even', () => {
    const router = routerWith(TARGETS);
    const first = chosenTarget(router, modelRequest(0));
    const again = chosenTarget(router, modelRequest(500));
    const others = Array.from({length: 40}, (_, prefix) =>
      chosenTarget(router, modelRequest(0, {prefix: prefix * 7_919})),
    );
    expect(again).toBe(first);
    expect(new Set(others).size).toBe(TARGETS.length);
  });

  test('holds the load bound however popular a prefix is', () => {
    fc.assert(
      fc.property(
        fc.integer({min: 2, max: 8}),
        fc.array(fc.nat({max: 2}), {minLength: 1, maxLength: 80}),
        (targetCount, prefixes) => {
          const targets = targetNames(targetCount);
          const router = routerWith(targets);
          const loads = new Map(targets.map(target => [target, 0]));
          prefixes.forEach((prefix, number) => {
            const target = chosenTarget(router, modelRequest(0, {prefix}));
            const before = loads.get(target)!;
            const mean = (number + 1) / (8 * targetCount);
            const bound = Math.max(1.1 * mean, Math.min(1.25 * mean, 1), 0.25);
            const least = Math.min(...loads.values());
            const isBounded = before + 1 <= 8 * bound + 1e-9;
            expect(isBounded || before === least).toBe(true);
            loads.set(target, before + 1);
            router.record({
              kind: 'dispatched',
              attempt: `a${number}`,
              target,
              now: 0,
            });
          });
        },
      ),
      propertySettings(300),
    );
  });

  test('ignores a report that is older than its data', () => {
    // A report from the time of a burst is delayed and arrives after the one
    // that showed its end. If it counted, a caller would wait although targets
    // are idle.
    const router = routerWith(['engine-0'], 9_000);
    const late = idleReport('engine-0', {running: 8, queued: 30, age: 5_000});
    router.record({kind: 'reportReceived', report: late, now: 9_100});
    const choice = router.chooseTarget(modelRequest(9_100)).unwrap();
    expect(choice.expectedWait).toBe(0);
  });

  test('detects a queue from a late first token before any report', () => {
    const router = routerWith(['engine-0', 'engine-1'], 1_000);
    const first = chosenTarget(router, modelRequest(1_100));
    const attempt = 'a1';
    router.record({kind: 'dispatched', attempt, target: first, now: 1_100});
    router.record({kind: 'firstToken', attempt, now: 4_000});
    expect(chosenTarget(router, modelRequest(4_000))).not.toBe(first);
  });

  test('returns overdue attempts and whether a target is idle', () => {
    const router = routerWith(['engine-0', 'engine-1']);
    const target = chosenTarget(router, modelRequest(0));
    router.record({kind: 'dispatched', attempt: 'a1', target, now: 0});
    expect(router.overdueAttempts(500)).toEqual([]);
    expect(router.overdueAttempts(800)).toEqual([{attempt: 'a1', target}]);
    const choice = router
      .chooseTarget(modelRequest(800, {exclude: [target]}))
      .unwrap();
    expect(choice.idle).toBe(true);
  });

  test('dumps a bounded number of targets', () => {
    const router = routerWith(targetNames(600));
    const dump = router.dump(0);
    expect(dump.targetCount).toBe(600);
    expect(dump.targets).toHaveLength(100);
  });
});
