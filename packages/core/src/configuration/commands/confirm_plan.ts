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
import {
  planSubjects,
  sharedSubjects,
  SITE_SUBJECT,
  subjectOfItem,
} from '../queries/subjects';
import type {
  HeadRow,
  MoveRow,
  Plan,
  PlanCommitFault,
  PlanRow,
  TableFlow,
} from '../types';
import {describeConflict} from './describe_conflict';
import {readHead, readRowOrFault, readPlan, type Versioned} from './read_state';
import {
  commitWithRetries,
  describePlatformError,
  retryAfter,
} from './table_steps';

/**
 * Bodies that are kept, counted from the head. Each commit deletes the one
 * that falls out, so the table holds at most so many. Enough for operators to
 * look back and for a starting process to read the body that it saw as head.
 */
export const BODIES_KEPT = 64;

/** What committing a generation needs. */
export interface CommitOptions {
  readonly digestText: DigestText;
  /** Bodies that the table keeps, the head's included; {@link BODIES_KEPT}. */
  readonly bodiesKept?: number;
}

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
  options: CommitOptions,
): TableFlow<Result<ConfirmedPlan, PlanCommitFault>> {
  const rows = yield* readHeadThenPlan(planId);
  if (!rows.ok) return rows;
  const {head, planRow} = rows.val;
  const settled = settledOutcome(planRow.value);
  if (settled !== undefined) return settled;
  const {plan} = planRow.value;
  const accepted = toAccepted(plan, plan.base + 1);
  if (decodeAccepted(accepted, options.digestText) === undefined) {
    return new Err({kind: 'malformedRow', key: planKey(planId)});
  }
  // Failure: a plan made on an older generation would silently undo what was
  // accepted since. Its base must be the head, and the head's row version is a
  // condition of the commit, so that no other change fits in between.
  if ((head?.value.generation ?? 0) !== plan.base) {
    return new Err(yield* describeConflict(plan, head?.value));
  }
  const moving = yield* findConflictingMove(plan, head?.value);
  if (moving !== undefined) return new Err(moving);
  const bodiesKept = options.bodiesKept ?? BODIES_KEPT;
  const transaction = buildTransaction(planRow, head, accepted, bodiesKept);
  const commit = yield* commitWithRetries(transaction);
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
  const rows = yield* readHeadThenPlan(plan.planId);
  if (!rows.ok) return new Err(unknown);
  const {head, planRow} = rows.val;
  const settled = settledOutcome(planRow.value);
  if (settled !== undefined) return settled;
  // Still planned with the head moved: the commit can never take effect.
  if ((head?.value.generation ?? 0) === plan.base) return new Err(unknown);
  return new Err(yield* describeConflict(plan, head?.value));
}

interface HeadAndPlan {
  readonly head: Versioned<HeadRow> | undefined;
  readonly planRow: Versioned<PlanRow>;
}

/**
 * Failure: an operator is told that another change came first, when that
 * change is this very plan, confirmed by somebody else between the two reads.
 * With the head read first, a plan that moved it reads as confirmed.
 */
function* readHeadThenPlan(
  planId: PlanId,
): TableFlow<Result<HeadAndPlan, PlanCommitFault>> {
  const head = yield* readHead();
  const planRow = yield* readPlan(planId);
  if (!head.ok) return head;
  if (!planRow.ok) return planRow;
  return new Ok({head: head.val, planRow: planRow.val});
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
      const accepted = toAccepted(plan, state.generation);
      return new Ok({accepted, wasConfirmed: true});
    }
  }
}

function toAccepted(plan: Plan, generation: Generation): AcceptedConfiguration {
  const {planId, digest, configuration} = plan;
  return {generation, digest, planId, configuration};
}

/** A plan must not touch what a move has closed and is about to open. */
function* findConflictingMove(
  plan: Plan,
  head: HeadRow | undefined,
): TableFlow<PlanCommitFault | undefined> {
  for (const moveId of head?.moves ?? []) {
    const key = moveKey(moveId);
    const row = yield* readRowOrFault(key);
    if (!row.ok) return row.val;
    const move = row.val === undefined ? undefined : decodeMoveRow(row.val);
    if (move === undefined) return {kind: 'malformedRow', key};
    // The older system must not be off when the move gives it something.
    const moving = [SITE_SUBJECT, ...move.move.items.map(subjectOfItem)];
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
  bodiesKept: number,
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
      ...acceptedWrites(accepted, nextHead, bodiesKept),
      ...moveWrites(plan, generation),
    ],
  };
}

/** The condition that the head is still as it was read. */
function headCondition(head: Versioned<HeadRow> | undefined): TableCondition {
  return head === undefined
    ? {kind: 'absent', key: HEAD_KEY}
    : {kind: 'versionIs', key: HEAD_KEY, version: head.version};
}

/** Writes of a new generation: its body, the head, and the trimmed body. */
export function acceptedWrites(
  accepted: AcceptedConfiguration,
  head: HeadRow,
  bodiesKept = BODIES_KEPT,
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
  const oldest = accepted.generation - bodiesKept;
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
