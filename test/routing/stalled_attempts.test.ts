import {createRouter, type Router} from '@hibiscusbeam/core';
import * as fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {propertySettings} from '../fixtures/property_settings';

const TARGETS = ['engine-1', 'engine-2'];
const SERVED = {model: 'repair-notes', versionDigest: 'sha256:1'};

function routerWithTwoTargets(): Router {
  const router = createRouter();
  for (const target of TARGETS) {
    router.record({
      kind: 'reportReceived',
      now: 0,
      report: {
        target,
        zone: 'bilbao-hall',
        service: undefined,
        leaving: false,
        loaded: [SERVED],
        running: 0,
        queued: 0,
        slots: 8,
        age: 0,
        cachedPrefixes: [],
      },
    });
  }
  return router;
}

/** Streams tokens of one attempt with these pauses between them. */
function stream(
  router: Router,
  target: string,
  pauses: readonly number[],
): void {
  const attempt = `${target}#1`;
  router.record({kind: 'dispatched', attempt, target, now: 0});
  router.record({kind: 'firstToken', attempt, now: 1});
  let now = 1;
  for (const pause of pauses) {
    now += pause;
    router.record({kind: 'token', attempt, tokens: 1, now});
  }
}

/** Ejects a target by failures in a row. */
function failAll(router: Router, target: string): void {
  for (const number of [11, 12, 13]) {
    const attempt = `${target}#${number}`;
    router.record({kind: 'dispatched', attempt, target, now: 0});
    router.record({kind: 'failed', attempt, now: 1});
  }
  router.evaluate(2);
}

describe('a response in progress', () => {
  // Of two equal engines, one's tokens arrive in bunches and the other's one by
  // one. If it counted as slow, an engine would have its responses cut off in
  // the middle.
  test('is not cut off for an imperceptible difference', () => {
    const pause = fc.integer({min: 0, max: 9});
    // Short enough that the quicker stream's silence at the end is not a stall.
    const count = fc.integer({min: 10, max: 60});
    fc.assert(
      fc.property(pause, pause, count, (leftPause, rightPause, tokens) => {
        const left = Array<number>(tokens).fill(leftPause);
        const right = Array<number>(tokens).fill(rightPause);
        const router = routerWithTwoTargets();
        stream(router, 'engine-1', left);
        stream(router, 'engine-2', right);
        router.evaluate(Math.max(sum(left), sum(right)) + 1);
        expect(router.stalledAttempts()).toEqual([]);
      }),
      propertySettings(500),
    );
  });

  // Connections of other callers to an engine break while this caller's
  // response still makes progress. It must not be cut off with them.
  test('is not cut off for failures of other requests', () => {
    const router = routerWithTwoTargets();
    stream(router, 'engine-1', [1, 1, 1]);
    failAll(router, 'engine-1');
    expect(router.stalledAttempts()).toEqual([]);
  });

  // A first token that an ejected engine owes can still come from another one.
  test('is moved while it waits at an ejected target', () => {
    const router = routerWithTwoTargets();
    const attempt = 'waiting#1';
    const target = 'engine-1';
    router.record({kind: 'dispatched', attempt, target, now: 0});
    failAll(router, target);
    expect(router.stalledAttempts()).toMatchObject([{attempt, target}]);
  });

  // One engine cut the connection and the other is ejected. The request goes to
  // the ejected one, since a slow response is better than none. If it were cut
  // off there again, it would end without a response.
  test('is not cut off at an ejected target that was its last resort', () => {
    const router = routerWithTwoTargets();
    failAll(router, 'engine-2');
    const chosen = router.chooseTarget({
      work: {kind: 'model', model: SERVED.model, versionDigest: undefined},
      prefix: 1,
      zone: 'bilbao-hall',
      now: 3,
      exclude: ['engine-1'],
    });
    expect(chosen.unwrap().target).toBe('engine-2');
    const attempt = 'last-resort#1';
    router.record({kind: 'dispatched', attempt, target: 'engine-2', now: 3});
    router.evaluate(4);
    expect(router.stalledAttempts()).toEqual([]);
  });
});

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
