import {ANYWHERE, createFirstEventTimes, type Route} from '@hibiscusbeam/core';
import {expect, test} from 'vitest';
import type {AcceptedRequest} from '../../packages/fleet/src/entry/request_acceptance';
import {
  createTimeliness,
  spreadRetryAfter,
} from '../../packages/fleet/src/entry/timeliness';
import {arrivedBody} from './fixtures/request_body';

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
    promptParts: [],
    body: arrivedBody(),
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

test('a request waits no longer than an answer would still be on time', () => {
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

// Callers of one route have different timeouts. Taken for later attempts, first
// attempts would look late on arrival and be refused while slots are free.
test('first attempts with shorter timeouts are not taken for later attempts', () => {
  const timeliness = createTimeliness(createFirstEventTimes());
  const longest = timeliness.limits(accepted(20_000, 6_000));
  for (const patience of [5_900, 5_500, 5_100]) {
    const shorter = timeliness.limits(accepted(20_000, patience));
    expect(shorter.onTimeUntil).toBe(longest.onTimeUntil);
  }
});

// An operator shortens a route's timeout below the timeouts of its callers. If
// all of them looked late, they would be refused before others once engines are
// full.
test('a shortened route timeout does not make first attempts look late', () => {
  const timeliness = createTimeliness(createFirstEventTimes());
  const before = timeliness.limits(accepted(20_000, 6_000));
  const after = timeliness.limits(accepted(3_000, 6_000));
  expect(after.onTimeUntil).toBe(before.onTimeUntil);
});

test('refused callers return after the requested pause, spread over time', () => {
  const route = {objective: OBJECTIVE} as Route;
  const returns = Array.from({length: 50}, (_, index) =>
    spreadRetryAfter(`request-${index}`, route, 3_000),
  );
  expect(Math.min(...returns)).toBeGreaterThanOrEqual(3_000);
  expect(new Set(returns).size).toBe(returns.length);
});
