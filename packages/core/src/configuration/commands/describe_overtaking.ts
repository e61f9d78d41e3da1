import type {Generation} from '../../types';
import {bodyKey, operatorsPlanId} from '../queries/rows';
import {planSubjects, sharedSubjects} from '../queries/subjects';
import type {
  HeadRow,
  OtherChange,
  Plan,
  PlanCommitFault,
  TableFlow,
} from '../types';
import {readKnown, readPlan} from './read_state';

/** Most accepted changes that a conflict names, to bound its table reads. */
const MOST_NAMED = 5;

/** The answer to a plan whose base is no longer the head. */
export function* describeOvertaking(
  plan: Plan,
  head: HeadRow | undefined,
): TableFlow<PlanCommitFault> {
  const newest = head?.generation ?? 0;
  const first = Math.max(plan.base + 1, newest - MOST_NAMED + 1);
  const others: OtherChange[] = [];
  for (let generation = first; generation <= newest; generation += 1) {
    const other = yield* readOther(plan, generation);
    if (other !== undefined) others.push(other);
  }
  const isWhole = others.length === newest - plan.base && newest > plan.base;
  const sharesAny = others.some(other => other.shared.length > 0);
  const relation = sharesAny ? 'sameThings' : isWhole ? 'unrelated' : 'unknown';
  return {
    kind: 'overtaken',
    planId: plan.planId,
    base: plan.base,
    head: newest,
    others,
    relation,
    advice: adviseAfter(relation, others.at(-1)),
  };
}

function* readOther(
  plan: Plan,
  generation: Generation,
): TableFlow<OtherChange | undefined> {
  const body = yield* readKnown(bodyKey(generation));
  if (!body.ok || body.val === undefined) return undefined;
  const {planId} = body.val.value as {readonly planId: string};
  const row = yield* readPlan(operatorsPlanId(planId));
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

function adviseAfter(
  relation: 'sameThings' | 'unrelated' | 'unknown',
  last: OtherChange | undefined,
): string {
  const replan = 're-plan with: hibiscusbeam intent plan FILE';
  if (relation === 'unrelated') return replan;
  if (last === undefined) return replan;
  const look = `hibiscusbeam intent show ${operatorsPlanId(last.planId)}`;
  return `look at the other change with: ${look}; then ${replan}`;
}
