import type {Router} from '@hibiscusbeam/core';
import * as fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {propertySettings} from '../fixtures/property_settings';
import {
  chosenTarget,
  idleReport,
  modelRequest,
  routerWith,
  targetNames,
} from '../fixtures/routing_site';

const TARGETS = targetNames(4);

/** One attempt at each target, with its first token after 100 ms. */
function startStreams(router: Router): void {
  for (const target of TARGETS) {
    router.record({kind: 'dispatched', attempt: target, target, now: 0});
    router.record({kind: 'firstToken', attempt: target, now: 100});
  }
}

/** Each target's stream yields a token after its own time, until `until`. */
function stream(
  router: Router,
  tokenTimes: ReadonlyMap<string, number>,
  from: number,
  until: number,
): void {
  for (let now = from; now <= until; now += 10) {
    for (const [attempt, tokenTime] of tokenTimes) {
      if (now % tokenTime !== 0) continue;
      router.record({kind: 'token', attempt, tokens: 1, now});
    }
    if (now % 100 === 0) router.evaluate(now);
  }
}

function healthOf(router: Router, target: string, now: number): string {
  const dumped = router.dump(now).targets.find(d => d.target === target);
  return dumped?.health ?? 'unknown';
}

function evenTokenTimes(except: string | undefined, time: number) {
  return new Map(
    TARGETS.map(target => [target, target === except ? time : 40] as const),
  );
}

describe('outlier ejection', () => {
  test('ejects a frozen target and returns its attempts', () => {
    // The target's process is stopped while its connections stay open, and its
    // agent continues to send healthy reports. A caller sees its response stop
    // in the middle.
    const router = routerWith(TARGETS);
    startStreams(router);
    stream(router, evenTokenTimes(undefined, 40), 200, 1_000);
    const times = evenTokenTimes(undefined, 40);
    times.delete('engine-2');
    stream(router, times, 1_010, 3_000);
    expect(healthOf(router, 'engine-2', 3_000)).toBe('ejected');
    expect(router.stalledAttempts()).toEqual([
      {attempt: 'engine-2', target: 'engine-2', cause: 'stalled'},
    ]);
    for (let prefix = 0; prefix < 50; prefix += 1) {
      const chosen = chosenTarget(router, modelRequest(3_000, {prefix}));
      expect(chosen).not.toBe('engine-2');
    }
  });

  test('ejects a target that is slow compared with its peers', () => {
    const router = routerWith(TARGETS);
    startStreams(router);
    stream(router, evenTokenTimes('engine-1', 400), 200, 5_000);
    expect(healthOf(router, 'engine-1', 5_000)).toBe('ejected');
    expect(healthOf(router, 'engine-0', 5_000)).toBe('healthy');
  });

  test('ejects a target after consecutive failures', () => {
    const router = routerWith(TARGETS);
    for (const attempt of ['a1', 'a2', 'a3']) {
      const target = 'engine-3';
      router.record({kind: 'dispatched', attempt, target, now: 10});
      router.record({kind: 'failed', attempt, now: 20});
    }
    router.evaluate(100);
    expect(healthOf(router, 'engine-3', 100)).toBe('ejected');
  });

  test('does not eject targets that are equally slow', () => {
    const router = routerWith(TARGETS);
    startStreams(router);
    const slow = new Map(TARGETS.map(target => [target, 400] as const));
    stream(router, slow, 200, 5_000);
    for (const target of TARGETS) {
      expect(healthOf(router, target, 5_000)).toBe('healthy');
    }
  });

  test('never ejects more than half, and always finds a target', () => {
    fc.assert(
      fc.property(
        fc.array(
          fc.record({
            target: fc.constantFrom(...TARGETS),
            pause: fc.nat({max: 3_000}),
            ends: fc.constantFrom('failed', 'silent', 'finished'),
          }),
          {maxLength: 60},
        ),
        steps => {
          const router = routerWith(TARGETS);
          let now = 0;
          steps.forEach(({target, pause, ends}, number) => {
            const attempt = `a${number}`;
            now += pause;
            router.record({kind: 'dispatched', attempt, target, now});
            if (ends !== 'silent') router.record({kind: ends, attempt, now});
            router.evaluate(now);
            const {targets} = router.dump(now);
            const out = targets.filter(dumped => dumped.health !== 'healthy');
            expect(out.length).toBeLessThanOrEqual(TARGETS.length / 2);
            expect(router.chooseTarget(modelRequest(now)).ok).toBe(true);
          });
        },
      ),
      propertySettings(300),
    );
  });

  test('falls back to an ejected target when it is the last one', () => {
    // The only target left in the site was ejected, and its peers are leaving.
    // Every caller would be refused although a target could respond.
    const router = routerWith(TARGETS);
    for (const attempt of ['a1', 'a2', 'a3']) {
      const target = 'engine-0';
      router.record({kind: 'dispatched', attempt, target, now: 10});
      router.record({kind: 'failed', attempt, now: 20});
    }
    router.evaluate(100);
    for (const target of TARGETS.slice(1)) {
      const report = idleReport(target, {leaving: true});
      router.record({kind: 'reportReceived', report, now: 150});
    }
    expect(chosenTarget(router, modelRequest(200))).toBe('engine-0');
  });

  test('probes an ejected target with one request at a time', () => {
    const router = routerWith(TARGETS);
    ejectByFailures(router, 'engine-0');
    router.evaluate(6_000);
    const probe = router.chooseTarget(modelRequest(6_000)).unwrap();
    expect(probe).toMatchObject({target: 'engine-0', probe: true});
    const {target} = probe;
    router.record({kind: 'dispatched', attempt: 'p1', target, now: 6_000});
    expect(chosenTarget(router, modelRequest(6_001))).not.toBe('engine-0');
  });

  test('brings a target back once its probes are answered', () => {
    fc.assert(
      fc.property(fc.constantFrom(...TARGETS), ejected => {
        const router = routerWith(TARGETS);
        ejectByFailures(router, ejected);
        let now = 6_000;
        router.evaluate(now);
        for (const attempt of ['p1', 'p2']) {
          const target = chosenTarget(router, modelRequest(now));
          expect(target).toBe(ejected);
          router.record({kind: 'dispatched', attempt, target, now});
          now += 100;
          router.record({kind: 'firstToken', attempt, now});
          router.record({kind: 'finished', attempt, now});
          router.evaluate(now);
        }
        expect(healthOf(router, ejected, now)).toBe('healthy');
      }),
      propertySettings(20),
    );
  });

  test('waits longer before each next probe of a target that keeps failing', () => {
    const router = routerWith(TARGETS);
    ejectByFailures(router, 'engine-0');
    router.evaluate(6_000);
    const target = 'engine-0';
    router.record({kind: 'dispatched', attempt: 'p1', target, now: 6_000});
    router.record({kind: 'failed', attempt: 'p1', now: 6_010});
    router.evaluate(6_100);
    router.evaluate(15_000);
    expect(healthOf(router, target, 15_000)).toBe('ejected');
    router.evaluate(16_200);
    expect(healthOf(router, target, 16_200)).toBe('probing');
  });
});

function ejectByFailures(router: Router, target: string): void {
  for (const attempt of ['f1', 'f2', 'f3']) {
    router.record({kind: 'dispatched', attempt, target, now: 10});
    router.record({kind: 'failed', attempt, now: 20});
  }
  router.evaluate(100);
}
