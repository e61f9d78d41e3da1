import {Err, Ok, type Result} from 'ts-results';
import type {
  AcceptedConfiguration,
  DigestText,
  Generation,
  PlanId,
  TableCondition,
  TableTransaction,
  TableWrite,
} from '../../types';
import {decodeAccepted, HEAD_KEY, planKey, toJson} from '../queries/rows';
import {bodyKey, decodeMoveRow, moveKey} from '../queries/rows';
import {planSubjects, sharedSubjects, subjectOfItem} from '../queries/subjects';
import type {
  HeadRow,
  MoveRow,
  Plan,
  PlanCommitFault,
  PlanRow,
  TableFlow,
} from '../types';
import {describeOvertaking} from './describe_overtaking';
import {readHead, readKnown, readPlan, type Versioned} from './read_state';
import {
  commitUntilKnown,
  describePlatformError,
  retryAfter,
} from './table_steps';

/**
 * Bodies that are kept, counted from the head. Each commit deletes the one
 * that falls out, so the table holds at most so many. Enough for operators to
 * look back and for a starting process to read the body that it saw as head.
 */
export const BODIES_KEPT = 64;

/** A plan that is part of the line of accepted configurations. */
export interface ConfirmedPlan {
  readonly accepted: AcceptedConfiguration;
  /** True if the plan was confirmed before; nothing changed this time. */
  readonly wasConfirmed: boolean;
}

/**
 * Makes a stored plan the next generation, in one transaction. Safe to repeat:
 * a plan is applied at most once, whichever replies are lost.
 */
export function* confirmPlan(
  planId: PlanId,
  digestText: DigestText,
): TableFlow<Result<ConfirmedPlan, PlanCommitFault>> {
  const planRow = yield* readPlan(planId);
  if (!planRow.ok) return planRow;
  const settled = settledOutcome(planRow.val.value);
  if (settled !== undefined) return settled;
  const {plan} = planRow.val.value;
  const accepted = acceptedBy(plan, plan.base + 1);
  if (decodeAccepted(accepted, digestText) === undefined) {
    return new Err({kind: 'malformedRow', key: planKey(planId)});
  }
  const head = yield* readHead();
  if (!head.ok) return head;
  // Failure: a plan made on an older generation would silently undo what was
  // accepted since. Its base must be the head, and the head's row version is a
  // condition of the commit, so that no other change fits in between.
  if ((head.val?.value.generation ?? 0) !== plan.base) {
    return new Err(yield* describeOvertaking(plan, head.val?.value));
  }
  const moving = yield* findMoving(plan, head.val?.value);
  if (moving !== undefined) return new Err(moving);
  const transaction = buildTransaction(planRow.val, head.val, accepted);
  const commit = yield* commitUntilKnown(transaction);
  switch (commit.kind) {
    case 'committed':
      return new Ok({accepted, wasConfirmed: false});
    case 'notApplied':
      return new Err({
        kind: 'platformUnavailable',
        detail: `nothing changed: ${describePlatformError(commit.error)}`,
        retryAfter: retryAfter(commit.error),
      });
    case 'conditionFailed':
    case 'unknown':
      return yield* readBack(plan);
  }
}

/** Finds by the plan's id whether the plan was applied. */
function* readBack(
  plan: Plan,
): TableFlow<Result<ConfirmedPlan, PlanCommitFault>> {
  const unknown: PlanCommitFault = {
    kind: 'outcomeUnknown',
    planId: plan.planId,
    advice: `outcome unknown, ask again with the same plan id: hibiscusbeam intent confirm ${plan.planId}`,
  };
  const planRow = yield* readPlan(plan.planId);
  if (!planRow.ok) return new Err(unknown);
  const settled = settledOutcome(planRow.val.value);
  if (settled !== undefined) return settled;
  const head = yield* readHead();
  if (!head.ok) return new Err(unknown);
  // Still planned with the head moved: the commit can never take effect.
  if ((head.val?.value.generation ?? 0) === plan.base) return new Err(unknown);
  return new Err(yield* describeOvertaking(plan, head.val?.value));
}

function settledOutcome(
  row: PlanRow,
): Result<ConfirmedPlan, PlanCommitFault> | undefined {
  const {plan, state} = row;
  switch (state.kind) {
    case 'planned':
      return undefined;
    case 'abandoned':
      return new Err({kind: 'planAbandoned', planId: plan.planId});
    case 'confirmed': {
      const accepted = acceptedBy(plan, state.generation);
      return new Ok({accepted, wasConfirmed: true});
    }
  }
}

function acceptedBy(plan: Plan, generation: Generation): AcceptedConfiguration {
  const {planId, digest, configuration} = plan;
  return {generation, digest, planId, configuration};
}

/** A plan must not touch what a move has closed and is about to open. */
function* findMoving(
  plan: Plan,
  head: HeadRow | undefined,
): TableFlow<PlanCommitFault | undefined> {
  for (const moveId of head?.moves ?? []) {
    const key = moveKey(moveId);
    const row = yield* readKnown(key);
    if (!row.ok) return row.val;
    const move = row.val === undefined ? undefined : decodeMoveRow(row.val);
    if (move === undefined) return {kind: 'malformedRow', key};
    const moving = move.move.items.map(subjectOfItem);
    const shared = sharedSubjects(planSubjects(plan), moving);
    if (shared.length > 0) {
      return {kind: 'moving', planId: plan.planId, moveId, shared};
    }
  }
  return undefined;
}

function buildTransaction(
  planRow: Versioned<PlanRow>,
  head: Versioned<HeadRow> | undefined,
  accepted: AcceptedConfiguration,
): TableTransaction {
  const {plan} = planRow.value;
  const {generation, digest, planId} = accepted;
  const moves = head?.value.moves ?? [];
  const openMoves = plan.move === undefined ? moves : [...moves, planId];
  const nextHead: HeadRow = {generation, digest, planId, moves: openMoves};
  const confirmed: PlanRow = {plan, state: {kind: 'confirmed', generation}};
  return {
    conditions: [
      headCondition(head),
      {kind: 'absent', key: bodyKey(generation)},
      // Failure: a plan abandoned by one operator while another confirms it
      // would still be applied. Each of the two changes this row's version.
      {
        kind: 'versionIs',
        key: planKey(planId),
        version: planRow.version,
      },
    ],
    writes: [
      {kind: 'put', key: planKey(planId), value: toJson(confirmed)},
      ...acceptedWrites(accepted, nextHead),
      ...moveWrites(plan, generation),
    ],
  };
}

/** The condition that the head is still as it was read. */
export function headCondition(
  head: Versioned<HeadRow> | undefined,
): TableCondition {
  return head === undefined
    ? {kind: 'absent', key: HEAD_KEY}
    : {kind: 'versionIs', key: HEAD_KEY, version: head.version};
}

/** Writes of a new generation: its body, the head, and the trimmed body. */
export function acceptedWrites(
  accepted: AcceptedConfiguration,
  head: HeadRow,
): readonly TableWrite[] {
  const body: TableWrite = {
    kind: 'put',
    key: bodyKey(accepted.generation),
    value: toJson(accepted),
  };
  const headWrite: TableWrite = {
    kind: 'put',
    key: HEAD_KEY,
    value: toJson(head),
  };
  const oldest = accepted.generation - BODIES_KEPT;
  if (oldest <= 0) return [body, headWrite];
  return [body, headWrite, {kind: 'delete', key: bodyKey(oldest)}];
}

function moveWrites(plan: Plan, closedAt: Generation): readonly TableWrite[] {
  if (plan.move === undefined) return [];
  const row: MoveRow = {
    planId: plan.planId,
    move: plan.move,
    closedAt,
    state: {kind: 'closed'},
  };
  return [{kind: 'put', key: moveKey(plan.planId), value: toJson(row)}];
}
