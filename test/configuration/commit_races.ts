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
  type Answer,
  createOperatorRace,
  type OperatorRace,
  readAccepted,
} from '../fixtures/racing_operators';

/** What confirming needs besides a table. */
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
    // One operator goes far ahead while the others are frozen.
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

/** Runs a race as arbitrary steps say, then without faults to calm down. */
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

/** Asserts a verdict on races of any steps. */
export function check(verdict: (race: OperatorRace) => void, runs = 110): void {
  fc.assert(
    fc.property(fc.array(raceStep, {minLength: 20, maxLength: 70}), steps =>
      verdict(runRace(steps)),
    ),
    propertySettings(runs),
  );
}

/** What an operator was told for certain never comes into force. */
export function isFinalRefusal(answer: Answer): boolean {
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

/** A flow that a test takes further one effect at a time. */
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

/** A table with some accepted generations and one plan on top. */
export function site(generations: number) {
  const faulty = createFaultyTable(() => {});
  const go = <Outcome>(
    flow: TableFlow<Outcome>,
    faults: readonly TableFault[] = [],
  ) => run(flow, faulty.answer, faults);
  const keep = (planId: string, workspace = planId, priority = 1) => {
    const intent = intentOf({kind: 'workspace', workspace, priority});
    const plan = planOf(intent, readAccepted(faulty.table), planId).unwrap();
    return go(storePlan(plan)).unwrap();
  };
  for (let number = 1; number <= generations; number += 1) {
    keep(`earlier-${number}`);
    go(confirmPlan(`earlier-${number}`, OPTIONS)).unwrap();
  }
  return {faulty, go, keep};
}

/** The generation that a table holds as accepted. */
export function generationOf(table: MemoryTable): number {
  return readAccepted(table).generation;
}
