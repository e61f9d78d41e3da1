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
  createSite,
  generationOf,
} from './commit_races';

describe('operators that confirm plans concurrently', () => {
  // Two operators confirm almost at once, or one is frozen between reading the
  // head and committing. If the second commit is based on a configuration
  // without the first, an accepted change disappears.
  test('accepted generations form one sequence and none is lost', () => {
    check(({history: line}) => {
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

  // An operator retries after a lost reply, or two operators confirm the same
  // plan. It must be one change, and both get its generation.
  test('a confirmed plan is applied at most once', () => {
    check(({history: line, answers}) => {
      const applied = line.map(accepted => accepted.planId);
      expect(new Set(applied).size).toBe(applied.length);
      for (const answer of answers) {
        if (answer.kind !== 'confirmed') continue;
        expect(applied[answer.generation - 1]).toBe(answer.planId);
      }
    });
  });

  // A late commit of a plan arrives at the table after an operator has
  // abandoned the plan, or was informed that another change came first.
  test('a refused or abandoned plan never comes into force', () => {
    check(({history: line, answers}) => {
      const applied = new Set(line.map(accepted => accepted.planId));
      for (const answer of answers.filter(isFinalRefusal)) {
        expect(applied.has(answer.planId)).toBe(false);
      }
    });
  });

  test('keeps a bounded number of bodies in the table', () => {
    check(({faulty}) => {
      const bodies = faulty.table
        .keys()
        .filter(key => key.startsWith('configuration/body/'));
      expect(bodies.length).toBeLessThanOrEqual(SHORT_HISTORY);
    }, 30);
  });
});

describe('confirming one plan', () => {
  // The commit takes effect, its reply is lost, and then the platform is down.
  // An operator who is told "nothing changed" would plan the same change again.
  test('never reports that nothing changed after a commit that took effect', () => {
    fc.assert(
      fc.property(fc.array(tableFault, {maxLength: 12}), faults => {
        const {faulty, runFlow, storeNewPlan} = createSite(0);
        storeNewPlan('plan-1');
        const result = runFlow(confirmPlan('plan-1', OPTIONS), faults);
        if (result.ok) expect(generationOf(faulty.table)).toBe(1);
        if (result.err && result.val.kind !== 'outcomeUnknown') {
          expect(generationOf(faulty.table)).toBe(0);
          expect(faulty.lateCount()).toBe(0);
        }
        while (faulty.lateCount() > 0) faulty.applyLate();
        const again = runFlow(confirmPlan('plan-1', OPTIONS)).unwrap();
        expect(again.accepted.generation).toBe(1);
        expect(generationOf(faulty.table)).toBe(1);
      }),
      propertySettings(400),
    );
  });

  // One operator abandons a plan while another confirms it. They must not both
  // be told that they succeeded.
  test('never succeeds together with abandoning it', () => {
    const turn = fc.tuple(fc.boolean(), tableFault);
    fc.assert(
      fc.property(fc.array(turn, {maxLength: 24}), turns => {
        const {faulty, storeNewPlan} = createSite(0);
        storeNewPlan('plan-1');
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

  test('returns the same answer again when a plan is confirmed twice', () => {
    const {faulty, runFlow, storeNewPlan} = createSite(3);
    storeNewPlan('plan-x');
    const first = runFlow(confirmPlan('plan-x', OPTIONS)).unwrap();
    storeNewPlan('plan-y');
    runFlow(confirmPlan('plan-y', OPTIONS)).unwrap();
    const second = runFlow(confirmPlan('plan-x', OPTIONS)).unwrap();
    expect(first.wasConfirmed).toBe(false);
    expect(second).toEqual({...first, wasConfirmed: true});
    expect(generationOf(faulty.table)).toBe(5);
  });

  test('reports an unknown outcome with the command to retry', () => {
    const {runFlow, storeNewPlan} = createSite(0);
    storeNewPlan('plan-1');
    const down = Array.from({length: 8}, () => 'unavailable' as const);
    const faults = ['none', 'none', 'lostAfter', ...down] as const;
    const result = runFlow(confirmPlan('plan-1', OPTIONS), faults);
    expect(result.err && result.val).toMatchObject({
      kind: 'outcomeUnknown',
      advice: expect.stringContaining('intent confirm plan-1') as string,
    });
  });

  test('names the accepted change that conflicts with the plan', () => {
    const {runFlow, storeNewPlan} = createSite(1);
    storeNewPlan('plan-a', 'w', 1);
    storeNewPlan('plan-b', 'w', 2);
    runFlow(confirmPlan('plan-a', OPTIONS)).unwrap();
    const result = runFlow(confirmPlan('plan-b', OPTIONS));
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

  test('names the command to plan again after an unrelated change', () => {
    const {runFlow, storeNewPlan} = createSite(0);
    storeNewPlan('plan-a', 'v');
    storeNewPlan('plan-b', 'w');
    runFlow(confirmPlan('plan-a', OPTIONS)).unwrap();
    const result = runFlow(confirmPlan('plan-b', OPTIONS));
    expect(result.err && result.val).toMatchObject({
      kind: 'overtaken',
      relation: 'unrelated',
      advice: 're-plan with: hibiscusbeam intent plan FILE',
    });
  });

  // A plan is confirmed days later, when all bodies since its base have been
  // trimmed. The condition that the next body does not exist would not prevent
  // it from becoming the head.
  test('refuses a plan whose base is older than the kept history', () => {
    const {faulty, runFlow, storeNewPlan} = createSite(0);
    storeNewPlan('plan-old', 'w');
    for (let number = 0; number <= BODIES_KEPT + 1; number += 1) {
      storeNewPlan(`plan-${number}`);
      runFlow(confirmPlan(`plan-${number}`, OPTIONS)).unwrap();
    }
    const head = generationOf(faulty.table);
    expect(runFlow(confirmPlan('plan-old', OPTIONS)).err).toBe(true);
    expect(generationOf(faulty.table)).toBe(head);
  });

  test('a corrupted stored plan is not applied', () => {
    const {faulty, runFlow, storeNewPlan} = createSite(0);
    const plan = storeNewPlan('plan-1');
    const key = 'plans/plan-1';
    const configuration = {...plan.configuration, olderSystemSwitchedOff: true};
    const damaged = {plan: {...plan, configuration}, state: {kind: 'planned'}};
    const value = JSON.parse(JSON.stringify(damaged)) as null;
    faulty.table.commit({conditions: [], writes: [{kind: 'put', key, value}]});
    const result = runFlow(confirmPlan('plan-1', OPTIONS));
    expect(result.err && result.val.kind).toBe('malformedRow');
    expect(generationOf(faulty.table)).toBe(0);
  });

  // A workspace is closed for its move. If another operator, whose plan does
  // not know of the move, could open it, both systems would serve it.
  test('refuses a plan that changes an item of an unfinished move', () => {
    const {faulty, runFlow, storeNewPlan} = createSite(0);
    storeNewPlan('plan-1', 'w');
    runFlow(confirmPlan('plan-1', OPTIONS)).unwrap();
    const own = {kind: 'own', owner: 'older-system', workspaces: ['w']};
    const base = readAccepted(faulty.table);
    runFlow(storePlan(planOf(intentOf(own), base, 'plan-2').unwrap())).unwrap();
    runFlow(confirmPlan('plan-2', OPTIONS)).unwrap();
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
      runFlow(storePlan(plan)).unwrap();
      const result = runFlow(confirmPlan(planId, OPTIONS));
      const expected = {kind: 'moving', moveId: 'plan-2'};
      expect(result.err && result.val).toMatchObject(expected);
    }
  });

  test('keeps an abandoned plan abandoned and a confirmed one confirmed', () => {
    const {runFlow, storeNewPlan} = createSite(0);
    storeNewPlan('plan-1');
    expect(runFlow(abandonPlan('plan-1')).ok).toBe(true);
    expect(runFlow(abandonPlan('plan-1')).ok).toBe(true);
    expect(runFlow(confirmPlan('plan-1', OPTIONS)).val).toMatchObject({
      kind: 'planAbandoned',
    });
    storeNewPlan('plan-2');
    runFlow(confirmPlan('plan-2', OPTIONS)).unwrap();
    expect(runFlow(abandonPlan('plan-2')).val).toMatchObject({
      kind: 'planAlreadyConfirmed',
      generation: 1,
    });
  });
});
