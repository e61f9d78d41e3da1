import {Err, Ok, type Result} from 'ts-results';
import type {PlanId} from '../../types';
import {planKey, toJson} from '../queries/rows';
import type {PlanCommitFault, PlanRow, TableFlow} from '../types';
import {readPlan} from './read_state';
import {
  commitWithRetries,
  describePlatformError,
  retryAfter,
} from './table_steps';

/** Abandons a plan permanently: it can't be confirmed afterwards. */
export function* abandonPlan(
  planId: PlanId,
): TableFlow<Result<void, PlanCommitFault>> {
  const planRow = yield* readPlan(planId);
  if (!planRow.ok) return planRow;
  const settled = settledOutcome(planRow.val.value);
  if (settled !== undefined) return settled;
  const {plan} = planRow.val.value;
  const abandoned: PlanRow = {plan, state: {kind: 'abandoned'}};
  const key = planKey(planId);
  const {version} = planRow.val;
  const commit = yield* commitWithRetries({
    conditions: [{kind: 'versionIs', key, version}],
    writes: [{kind: 'put', key, value: toJson(abandoned)}],
  });
  if (commit.kind === 'committed') return new Ok(undefined);
  if (commit.kind === 'notApplied') {
    return new Err({
      kind: 'platformUnavailable',
      detail: describePlatformError(commit.error),
      retryAfter: retryAfter(commit.error),
    });
  }
  const readBack = yield* readPlan(planId);
  const outcome = readBack.ok ? settledOutcome(readBack.val.value) : undefined;
  return (
    outcome ??
    new Err({
      kind: 'outcomeUnknown',
      planId,
      advice: `outcome unknown, ask again: hibiscusbeam intent abandon ${planId}`,
    })
  );
}

function settledOutcome(
  row: PlanRow,
): Result<void, PlanCommitFault> | undefined {
  const {plan, state} = row;
  switch (state.kind) {
    case 'planned':
      return undefined;
    case 'abandoned':
      return new Ok(undefined);
    case 'confirmed':
      return new Err({
        kind: 'planAlreadyConfirmed',
        planId: plan.planId,
        generation: state.generation,
      });
  }
}
