import {
  abandonPlan,
  BODIES_KEPT,
  confirmPlan,
  decodeMoveRow,
  moveKey,
  storePlan,
} from '@hibiscusbeam/core';
import * as fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {intentOf, planOf} from '../fixtures/configuration_samples';
import {tableFault} from '../fixtures/faulty_table';
import {propertySettings} from '../fixtures/property_settings';
import {
  readAccepted,
  SHORT_HISTORY,
  workspaceOf,
} from '../fixtures/racing_operators';
import {
  OPTIONS,
  check,
  isFinalRefusal,
  stepwise,
  site,
  generationOf,
} from './commit_races';

describe('operators that race', () => {
  // A user sees a change that was accepted disappear: two operators confirm
  // almost at once, or one is frozen between reading the head and committing,
  // and the second commit is built on a configuration without the first.
  test('accepted generations form one line and none is lost', () => {
    check(({line}) => {
      line.forEach((accepted, position) => {
        expect(accepted.generation).toBe(position + 1);
        const before = line[position - 1]?.configuration.workspaces ?? {};
        const own = workspaceOf(accepted.planId);
        const now = accepted.configuration.workspaces;
        expect(now[own]?.weight).toBe(Number(accepted.planId.split('-')[1]));
        const others = Object.keys(before).filter(name => name !== own);
        for (const name of others) expect(now[name]).toEqual(before[name]);
      });
    });
  });

  // An operator's reply is lost and they confirm again, or two confirm the
  // same plan: it must be one change, and both are told its generation.
  test('a confirmed plan is applied at most once', () => {
    check(({line, answers}) => {
      const applied = line.map(accepted => accepted.planId);
      expect(new Set(applied).size).toBe(applied.length);
      for (const answer of answers) {
        if (answer.kind !== 'confirmed') continue;
        expect(applied[answer.generation - 1]).toBe(answer.planId);
      }
    });
  });

  // An operator abandons a plan, or is told that another change came first;
  // then a late commit of the same plan arrives at the table.
  test('a refused or abandoned plan never comes into force', () => {
    check(({line, answers}) => {
      const applied = new Set(line.map(accepted => accepted.planId));
      for (const answer of answers.filter(isFinalRefusal)) {
        expect(applied.has(answer.planId)).toBe(false);
      }
    });
  });

  test('the table keeps a bounded history', () => {
    check(({faulty}) => {
      const bodies = faulty.table
        .keys()
        .filter(key => key.startsWith('configuration/body/'));
      expect(bodies.length).toBeLessThanOrEqual(SHORT_HISTORY);
    }, 30);
  });
});

describe('confirming one plan', () => {
  // The commit takes effect, its reply is lost, then the platform is down. An
  // operator told "nothing changed" would plan the same change a second time.
  test('never says that nothing changed when something did', () => {
    fc.assert(
      fc.property(fc.array(tableFault, {maxLength: 12}), faults => {
        const {faulty, go, keep} = site(0);
        keep('plan-1');
        const result = go(confirmPlan('plan-1', OPTIONS), faults);
        if (result.ok) expect(generationOf(faulty.table)).toBe(1);
        if (result.err && result.val.kind !== 'outcomeUnknown') {
          expect(generationOf(faulty.table)).toBe(0);
          expect(faulty.lateCount()).toBe(0);
        }
        while (faulty.lateCount() > 0) faulty.applyLate();
        const again = go(confirmPlan('plan-1', OPTIONS)).unwrap();
        expect(again.accepted.generation).toBe(1);
        expect(generationOf(faulty.table)).toBe(1);
      }),
      propertySettings(400),
    );
  });

  // One operator abandons a plan at the moment at which another confirms it,
  // and both are told that they had their way.
  test('and abandoning it exclude one another', () => {
    const turn = fc.tuple(fc.boolean(), tableFault);
    fc.assert(
      fc.property(fc.array(turn, {maxLength: 24}), turns => {
        const {faulty, keep} = site(0);
        keep('plan-1');
        const confirming = stepwise(confirmPlan('plan-1', OPTIONS), faulty);
        const abandoning = stepwise(abandonPlan('plan-1'), faulty);
        for (const [isFirst, fault] of turns) {
          (isFirst ? confirming : abandoning).step(fault);
        }
        while (faulty.lateCount() > 0) faulty.applyLate();
        const isApplied = generationOf(faulty.table) === 1;
        if (confirming.outcome()?.ok) expect(isApplied).toBe(true);
        if (abandoning.outcome()?.ok) expect(isApplied).toBe(false);
      }),
      propertySettings(400),
    );
  });

  test('twice is one change, with the same answer', () => {
    const {faulty, go, keep} = site(3);
    keep('plan-x');
    const first = go(confirmPlan('plan-x', OPTIONS)).unwrap();
    keep('plan-y');
    go(confirmPlan('plan-y', OPTIONS)).unwrap();
    const second = go(confirmPlan('plan-x', OPTIONS)).unwrap();
    expect(first.wasConfirmed).toBe(false);
    expect(second).toEqual({...first, wasConfirmed: true});
    expect(generationOf(faulty.table)).toBe(5);
  });

  test('says clearly that the outcome is unknown, and how to ask', () => {
    const {go, keep} = site(0);
    keep('plan-1');
    const down = Array.from({length: 8}, () => 'unavailable' as const);
    const faults = ['none', 'none', 'lostAfter', ...down] as const;
    const result = go(confirmPlan('plan-1', OPTIONS), faults);
    expect(result.err && result.val).toMatchObject({
      kind: 'outcomeUnknown',
      advice: expect.stringContaining('intent confirm plan-1') as string,
    });
  });

  test('names the change that came first and touches the same', () => {
    const {go, keep} = site(1);
    keep('plan-a', 'w', 1);
    keep('plan-b', 'w', 2);
    go(confirmPlan('plan-a', OPTIONS)).unwrap();
    const result = go(confirmPlan('plan-b', OPTIONS));
    expect(result.err && result.val).toMatchObject({
      kind: 'overtaken',
      relation: 'sameThings',
      base: 1,
      head: 2,
      others: [
        {
          planId: 'plan-a',
          operator: 'operator-1',
          summary: 'workspace w',
          shared: [{kind: 'workspace', name: 'w'}],
        },
      ],
    });
  });

  test('tells an unrelated plan to plan again in one command', () => {
    const {go, keep} = site(0);
    keep('plan-a', 'v');
    keep('plan-b', 'w');
    go(confirmPlan('plan-a', OPTIONS)).unwrap();
    const result = go(confirmPlan('plan-b', OPTIONS));
    expect(result.err && result.val).toMatchObject({
      kind: 'overtaken',
      relation: 'unrelated',
      advice: 're-plan with: hibiscusbeam intent plan FILE',
    });
  });

  // A plan lies about for days. All bodies since its base have been trimmed,
  // so "the next body must not exist" alone would let it become the head.
  test('a plan from before the history is refused', () => {
    const {faulty, go, keep} = site(0);
    keep('plan-old', 'w');
    for (let number = 0; number <= BODIES_KEPT + 1; number += 1) {
      keep(`plan-${number}`);
      go(confirmPlan(`plan-${number}`, OPTIONS)).unwrap();
    }
    const head = generationOf(faulty.table);
    expect(go(confirmPlan('plan-old', OPTIONS)).err).toBe(true);
    expect(generationOf(faulty.table)).toBe(head);
  });

  test('a stored plan that was damaged is not applied', () => {
    const {faulty, go, keep} = site(0);
    const plan = keep('plan-1');
    const key = 'plans/plan-1';
    const configuration = {...plan.configuration, olderSystemSwitchedOff: true};
    const damaged = {plan: {...plan, configuration}, state: {kind: 'planned'}};
    const value = JSON.parse(JSON.stringify(damaged)) as null;
    faulty.table.commit({conditions: [], writes: [{kind: 'put', key, value}]});
    const result = go(confirmPlan('plan-1', OPTIONS));
    expect(result.err && result.val.kind).toBe('malformedRow');
    expect(generationOf(faulty.table)).toBe(0);
  });

  // A workspace is closed for its move. Another operator, whose plan was made
  // without knowing of the move, opens it: then both sides serve it.
  test('a plan that touches what is moving is refused', () => {
    const {faulty, go, keep} = site(0);
    keep('plan-1', 'w');
    go(confirmPlan('plan-1', OPTIONS)).unwrap();
    const own = {kind: 'own', owner: 'older-system', workspaces: ['w']};
    const base = readAccepted(faulty.table);
    go(storePlan(planOf(intentOf(own), base, 'plan-2').unwrap())).unwrap();
    go(confirmPlan('plan-2', OPTIONS)).unwrap();
    const row = faulty.table.read(moveKey('plan-2'))!;
    expect(decodeMoveRow(row)).toMatchObject({closedAt: 2});
    const closed = readAccepted(faulty.table);
    const changes = [
      {kind: 'workspace', workspace: 'w', open: true},
      {kind: 'switch-off'},
    ];
    for (const [number, change] of changes.entries()) {
      const planId = `plan-${number + 3}`;
      const plan = planOf(intentOf(change), closed, planId).unwrap();
      go(storePlan(plan)).unwrap();
      const result = go(confirmPlan(planId, OPTIONS));
      const expected = {kind: 'moving', moveId: 'plan-2'};
      expect(result.err && result.val).toMatchObject(expected);
    }
  });

  test('an abandoned plan stays abandoned, a confirmed one confirmed', () => {
    const {go, keep} = site(0);
    keep('plan-1');
    expect(go(abandonPlan('plan-1')).ok).toBe(true);
    expect(go(abandonPlan('plan-1')).ok).toBe(true);
    expect(go(confirmPlan('plan-1', OPTIONS)).val).toMatchObject({
      kind: 'planAbandoned',
    });
    keep('plan-2');
    go(confirmPlan('plan-2', OPTIONS)).unwrap();
    expect(go(abandonPlan('plan-2')).val).toMatchObject({
      kind: 'planAlreadyConfirmed',
      generation: 1,
    });
  });
});
