import {Err, Ok, type Result} from 'ts-results';
import {canonicalJson} from '../../utils/canonical_json';
import {decodePlanRow, planKey, toJson} from '../queries/rows';
import type {Plan, PlanCommitFault, PlanRow, TableFlow} from '../types';
import {
  commitWithRetries,
  describePlatformError,
  readRow,
  retryAfter,
} from './table_steps';

/** Stores a plan, so that any entry can confirm it. Changes nothing else. */
export function* storePlan(
  plan: Plan,
): TableFlow<Result<Plan, PlanCommitFault>> {
  const key = planKey(plan.planId);
  const row: PlanRow = {plan, state: {kind: 'planned'}};
  const stored = yield* commitWithRetries({
    conditions: [{kind: 'absent', key}],
    writes: [{kind: 'put', key, value: toJson(row)}],
  });
  if (stored.kind === 'committed') return new Ok(plan);
  if (stored.kind === 'notApplied') {
    return new Err({
      kind: 'platformUnavailable',
      detail: describePlatformError(stored.error),
      retryAfter: retryAfter(stored.error),
    });
  }
  const readBack = yield* readRow(key);
  if (!readBack.ok || readBack.val === undefined) {
    return new Err({
      kind: 'outcomeUnknown',
      planId: plan.planId,
      advice: 'the plan may not be kept: plan again',
    });
  }
  const found = decodePlanRow(readBack.val);
  if (found === undefined) return new Err({kind: 'malformedRow', key});
  const isOurs =
    canonicalJson(toJson(found.plan)) === canonicalJson(toJson(plan));
  if (!isOurs) return new Err({kind: 'planIdTaken', planId: plan.planId});
  return new Ok(plan);
}
