import {ANYWHERE, createFirstEventTimes, type Route} from '@hibiscusbeam/core';
import {expect, test} from 'vitest';
import type {AcceptedRequest} from '../../packages/fleet/src/entry/request_acceptance';
import {
  createTimeliness,
  spreadRetryAfter,
} from '../../packages/fleet/src/entry/timeliness';

const OBJECTIVE = 400;

function accepted(timeout: number, patience: number): AcceptedRequest {
  const route = {name: 'route', timeout, objective: OBJECTIVE} as Route;
  return {
    header: {patience} as AcceptedRequest['header'],
    route,
    service: 'engines',
    access: {kind: 'anonymous'},
    destinations: ANYWHERE,
    run: {
      promptTime: 0,
      writingTime: 0,
      tokens: 0,
      answerTokens: 0,
      profile: undefined,
    },
    fingerprint: 'content',
    body: Buffer.alloc(0),
    arrivedAt: 0,
    deadline: Math.min(timeout, patience),
  };
}

test('a later attempt has less time left than the first one', () => {
  const timeliness = createTimeliness(createFirstEventTimes());
  const first = timeliness.limits(accepted(20_000, 6_000));
  const second = timeliness.limits(accepted(20_000, 5_000));
  expect(first.onTimeUntil - second.onTimeUntil).toBe(1_000);
});

test('waits no longer than an answer would be on time', () => {
  const answerTimes = createFirstEventTimes();
  const timeliness = createTimeliness(answerTimes);
  const idle = timeliness.limits(accepted(20_000, 6_000)).waitUntil;
  for (let count = 0; count < 50; count += 1) {
    answerTimes.record('engines', 300, 0);
  }
  const busy = timeliness.limits(accepted(20_000, 6_000)).waitUntil;
  expect(idle).toBeGreaterThan(busy);
  expect(busy).toBeLessThanOrEqual(OBJECTIVE - 300 + 1e-6);
});

// Callers of one route differ in patience. Taken for later attempts, first ones
// look late on arrival and are refused while places are free.
test('first attempts of less patient callers are not taken for later ones', () => {
  const timeliness = createTimeliness(createFirstEventTimes());
  const longest = timeliness.limits(accepted(20_000, 6_000));
  for (const patience of [5_900, 5_500, 5_100]) {
    const shorter = timeliness.limits(accepted(20_000, patience));
    expect(shorter.onTimeUntil).toBe(longest.onTimeUntil);
  }
});

// An operator shortens a route's timeout below the patience of its callers. All
// of them look late, and once engines are full they are refused before others.
test('a shorter timeout makes no first attempt look late', () => {
  const timeliness = createTimeliness(createFirstEventTimes());
  const before = timeliness.limits(accepted(20_000, 6_000));
  const after = timeliness.limits(accepted(3_000, 6_000));
  expect(after.onTimeUntil).toBe(before.onTimeUntil);
});

test('who is told to come back after a pause comes after it, not all at once', () => {
  const route = {objective: OBJECTIVE} as Route;
  const returns = Array.from({length: 50}, (_, index) =>
    spreadRetryAfter(`request-${index}`, route, 3_000),
  );
  expect(Math.min(...returns)).toBeGreaterThanOrEqual(3_000);
  expect(new Set(returns).size).toBe(returns.length);
});
