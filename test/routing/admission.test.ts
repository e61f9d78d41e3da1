import type {TargetChoice} from '@hibiscusbeam/core';
import {
  createAdmission,
  createRetryBudget,
  createWorkspaceShares,
} from '@hibiscusbeam/core';
import * as fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {propertySettings} from '../fixtures/property_settings';

const IDLE: TargetChoice = {
  target: 'engine-0',
  expectedWait: 0,
  expectedLoad: 0.1,
  expectedFirstToken: 200,
  expectedTokenTime: 40,
  turnTime: 300,
  idle: true,
  probe: false,
};

const REQUEST = {
  now: 0,
  firstTokenBy: 1_900,
  deadline: 60_000,
  expectedTokens: 400,
  choice: IDLE,
  turnsAhead: 0,
  overShare: false,
} as const;

function withWait(wait: number): TargetChoice {
  return {
    ...IDLE,
    expectedWait: wait,
    expectedFirstToken: wait + 200,
    expectedLoad: wait > 0 ? 1.1 : 0.5,
    idle: false,
  };
}

describe('admission', () => {
  test('decides by the deadline and the measured times', () => {
    const admission = createAdmission({firstTokenGoal: 1_900});
    expect(admission.decide(REQUEST)).toEqual({kind: 'dispatch'});
    const short = {...REQUEST, deadline: 5_000};
    expect(admission.decide(short)).toMatchObject({
      kind: 'refuse',
      reason: 'deadlineTooShort',
    });
    const queued = {...REQUEST, choice: withWait(800)};
    expect(admission.decide(queued).kind).toBe('queue');
    const late = {...REQUEST, choice: withWait(2_000)};
    expect(admission.decide(late).kind).toBe('refuse');
    const behind = {...REQUEST, turnsAhead: 6};
    expect(admission.decide(behind).kind).toBe('refuse');
  });

  test('refuses with a finite retry delay, whatever the inputs', () => {
    const anyNumber = fc.oneof(
      fc.double(),
      fc.constantFrom(Infinity, -Infinity, NaN, 0),
    );
    fc.assert(
      fc.property(
        anyNumber,
        anyNumber,
        anyNumber,
        fc.boolean(),
        (wait, turnsAhead, tokenTime, overShare) => {
          const admission = createAdmission({firstTokenGoal: 1_900});
          const choice = {...withWait(wait), expectedTokenTime: tokenTime};
          const request = {...REQUEST, choice, turnsAhead, overShare};
          const decision = admission.decide(request);
          if (decision.kind !== 'refuse') return;
          expect(decision.retryAfter).toBeGreaterThanOrEqual(250);
          expect(decision.retryAfter).toBeLessThanOrEqual(30_000);
        },
      ),
      propertySettings(1_000),
    );
  });

  test('learns a margin from late first tokens, within bounds', () => {
    fc.assert(
      fc.property(
        fc.array(fc.nat({max: 5_000}), {maxLength: 300}),
        firstTokens => {
          const admission = createAdmission({firstTokenGoal: 1_900});
          for (const actual of firstTokens) {
            admission.recordFirstToken(500, actual);
          }
          expect(admission.margin()).toBeGreaterThanOrEqual(0);
          expect(admission.margin()).toBeLessThanOrEqual(0.6 * 1_900);
          expect(admission.decide(REQUEST).kind).toBe('dispatch');
        },
      ),
      propertySettings(200),
    );
  });

  test('keeps slots and the queue free of a workspace over its share', () => {
    const admission = createAdmission({firstTokenGoal: 1_900});
    const over = {...REQUEST, overShare: true};
    const free = {...IDLE, expectedLoad: 0.8};
    expect(admission.decide({...over, choice: free}).kind).toBe('dispatch');
    const reserved = {...IDLE, expectedLoad: 0.9};
    expect(admission.decide({...over, choice: reserved})).toMatchObject({
      kind: 'refuse',
      reason: 'workspaceLimit',
    });
    const quiet = {...REQUEST, choice: reserved};
    expect(admission.decide(quiet).kind).toBe('dispatch');
  });

  test('sends out requests that were queued', () => {
    const admission = createAdmission({firstTokenGoal: 1_900});
    expect(admission.mayLeaveQueue(withWait(900), 100)).toBe(false);
    expect(admission.mayLeaveQueue(withWait(500), 100)).toBe(true);
    expect(admission.mayLeaveQueue(withWait(900), 500)).toBe(true);
  });
});

describe('a retry budget', () => {
  test('bounds retries by a share of first attempts and the reserve', () => {
    fc.assert(
      fc.property(
        fc.array(fc.constantFrom('first', 'retry', 'move'), {maxLength: 400}),
        steps => {
          const budget = createRetryBudget();
          let firstAttempts = 0;
          let retries = 0;
          for (const step of steps) {
            if (step === 'first') {
              firstAttempts += 1;
              budget.recordFirstTry();
            }
            if (step === 'retry' && budget.takeRetry()) retries += 1;
            if (step === 'move' && budget.takeMove()) {
              retries += 1;
              expect(budget.available()).toBeGreaterThanOrEqual(4);
            }
            expect(retries).toBeLessThanOrEqual(10 + 0.1 * firstAttempts);
          }
        },
      ),
      propertySettings(500),
    );
  });
});

describe('workspace shares', () => {
  test('flag only a workspace that both sends and holds more than its weight', () => {
    const uses = new Map([
      ['flood', 90],
      ['quiet', 10],
    ]);
    const shares = createWorkspaceShares({
      siteUse: workspace => uses.get(workspace) ?? 0,
    });
    for (let request = 0; request < 10; request += 1) {
      shares.started('flood', 1);
      shares.started('quiet', 1);
    }
    shares.started('quiet', 1);
    expect(shares.isOverShare('quiet', 1)).toBe(false);
    shares.started('flood', 1);
    expect(shares.isOverShare('flood', 1)).toBe(true);
    for (let request = 0; request < 8; request += 1) shares.ended('flood');
    expect(shares.isOverShare('flood', 1)).toBe(false);
  });
});
