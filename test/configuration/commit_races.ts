import {confirmPlan, storePlan, type TableFlow} from '@hibiscusbeam/core';
import * as fc from 'fast-check';
import {intentOf, planOf} from '../fixtures/configuration_samples';
import {
  createFaultyTable,
  tableFault,
  type TableFault,
} from '../fixtures/faulty_table';
import {type MemoryTable, sha256Text} from '../fixtures/memory_table';
import {propertySettings} from '../fixtures/property_settings';
import {
  type OperatorAnswer,
  createOperatorRace,
  type OperatorRace,
  readAccepted,
} from '../fixtures/racing_operators';

/** Options for confirming a plan. */
export const OPTIONS = {digestText: sha256Text};

const raceStep = fc.oneof(
  {
    weight: 12,
    arbitrary: fc.record({
      kind: fc.constant('step' as const),
      operator: fc.nat(3),
      fault: tableFault,
    }),
  },
  {
    // One operator makes many steps while the others are frozen.
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('burst' as const),
      operator: fc.nat(3),
      length: fc.integer({min: 6, max: 24}),
    }),
  },
  {weight: 1, arbitrary: fc.record({kind: fc.constant('late' as const)})},
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('restart' as const),
      operator: fc.nat(3),
    }),
  },
);

type RaceStep = typeof raceStep extends fc.Arbitrary<infer Step> ? Step : never;

/** Runs the given steps, then delivers all late writes. */
function runRace(steps: readonly RaceStep[]) {
  const race = createOperatorRace(4);
  for (const step of steps) {
    if (step.kind === 'late') race.faulty.applyLate();
    else if (step.kind === 'restart') race.restart(step.operator);
    else if (step.kind === 'step') race.step(step.operator, step.fault);
    else runBurst(race, step.operator, step.length);
  }
  while (race.faulty.lateCount() > 0) race.faulty.applyLate();
  return race;
}

function runBurst(race: OperatorRace, operator: number, length: number): void {
  for (let steps = 0; steps < length; steps += 1) race.step(operator, 'none');
}

/** Checks an assertion on races with arbitrary steps. */
export function check(
  assertion: (race: OperatorRace) => void,
  runs = 110,
): void {
  fc.assert(
    fc.property(fc.array(raceStep, {minLength: 20, maxLength: 70}), steps =>
      assertion(runRace(steps)),
    ),
    propertySettings(runs),
  );
}

/** Whether an answer states that the plan will never be applied. */
export function isFinalRefusal(answer: OperatorAnswer): boolean {
  if (answer.kind === 'abandoned') return true;
  if (answer.kind === 'confirmed') return false;
  return ['overtaken', 'planAbandoned', 'moving'].includes(answer.fault.kind);
}

function run<Outcome>(
  flow: TableFlow<Outcome>,
  answer: ReturnType<typeof createFaultyTable>['answer'],
  faults: readonly TableFault[] = [],
): Outcome {
  let position = 0;
  let next = flow.next();
  while (!next.done) {
    const isWait = next.value.kind === 'wait';
    const fault = isWait ? 'none' : (faults[position] ?? 'none');
    if (!isWait) position += 1;
    next = flow.next(answer(next.value, fault));
  }
  return next.value;
}

/** Runs a flow one effect at a time. */
export function stepwise<Outcome>(
  flow: TableFlow<Outcome>,
  {answer}: ReturnType<typeof createFaultyTable>,
) {
  let next = flow.next();
  return {
    step: (fault: TableFault) => {
      if (!next.done) next = flow.next(answer(next.value, fault));
    },
    outcome: () => (next.done ? next.value : undefined),
  };
}

/** Creates a table with some accepted generations. */
export function createSite(generations: number) {
  const faulty = createFaultyTable(() => {});
  const runFlow = <Outcome>(
    flow: TableFlow<Outcome>,
    faults: readonly TableFault[] = [],
  ) => run(flow, faulty.answer, faults);
  const storeNewPlan = (planId: string, workspace = planId, priority = 1) => {
    const intent = intentOf({kind: 'workspace', workspace, priority});
    const plan = planOf(intent, readAccepted(faulty.table), planId).unwrap();
    return runFlow(storePlan(plan)).unwrap();
  };
  for (let number = 1; number <= generations; number += 1) {
    storeNewPlan(`earlier-${number}`);
    runFlow(confirmPlan(`earlier-${number}`, OPTIONS)).unwrap();
  }
  return {faulty, runFlow, storeNewPlan};
}

/** Returns the accepted generation of a table. */
export function generationOf(table: MemoryTable): number {
  return readAccepted(table).generation;
}
