import type {Generation} from '../../types';
import {bodyKey, operatorPlanId} from '../queries/rows';
import {planSubjects, sharedSubjects} from '../queries/subjects';
import type {
  HeadRow,
  InterveningChange,
  Plan,
  PlanCommitFault,
  TableFlow,
} from '../types';
import {readRowOrFault, readPlan} from './read_state';

/**
 * Maximum number of accepted changes that a conflict reports, which bounds its
 * table reads.
 */
const MAX_REPORTED_CHANGES = 5;

/** Builds the fault for a plan whose base is no longer the head. */
export function* describeConflict(
  plan: Plan,
  head: HeadRow | undefined,
): TableFlow<PlanCommitFault> {
  const newest = head?.generation ?? 0;
  const first = Math.max(plan.base + 1, newest - MAX_REPORTED_CHANGES + 1);
  const others: InterveningChange[] = [];
  for (let generation = first; generation <= newest; generation += 1) {
    const other = yield* readInterveningChange(plan, generation);
    if (other !== undefined) others.push(other);
  }
  const isComplete = others.length === newest - plan.base && newest > plan.base;
  const sharesAny = others.some(other => other.shared.length > 0);
  const relation = sharesAny
    ? 'sameThings'
    : isComplete
      ? 'unrelated'
      : 'unknown';
  return {
    kind: 'overtaken',
    planId: plan.planId,
    base: plan.base,
    head: newest,
    others,
    relation,
    advice: formatAdvice(relation, others.at(-1)),
  };
}

function* readInterveningChange(
  plan: Plan,
  generation: Generation,
): TableFlow<InterveningChange | undefined> {
  const body = yield* readRowOrFault(bodyKey(generation));
  if (!body.ok || body.val === undefined) return undefined;
  const {planId} = body.val.value as {readonly planId: string};
  const row = yield* readPlan(operatorPlanId(planId));
  if (!row.ok) return undefined;
  const other = row.val.value.plan;
  return {
    generation,
    planId,
    summary: other.summary,
    operator: other.operator,
    shared: sharedSubjects(planSubjects(plan), planSubjects(other)),
  };
}

function formatAdvice(
  relation: 'sameThings' | 'unrelated' | 'unknown',
  last: InterveningChange | undefined,
): string {
  const replan = 're-plan with: hibiscusbeam intent plan FILE';
  if (relation === 'unrelated') return replan;
  if (last === undefined) return replan;
  const showCommand = `hibiscusbeam intent show ${operatorPlanId(last.planId)}`;
  return `look at the other change with: ${showCommand}; then ${replan}`;
}
