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
 * Number of bodies that the table keeps, counted from the head. Each commit
 * deletes the oldest one beyond it. The history is for operators, and for a
 * starting process that reads the body of the head it saw.
 */
export const BODIES_KEPT = 64;

/** Dependencies and limits of committing a generation. */
export interface CommitOptions {
  readonly digestText: DigestText;
  /**
   * Bodies that the table keeps, including the head's; defaults to
   * {@link BODIES_KEPT}.
   */
  readonly bodiesKept?: number;
}

/** A plan that has become an accepted configuration. */
export interface ConfirmedPlan {
  readonly accepted: AcceptedConfiguration;
  /**
   * True if the plan had been confirmed before, so that this call changed
   * nothing.
   */
  readonly wasConfirmed: boolean;
}

/**
 * Makes a stored plan the next generation, in one transaction. Safe to retry: a
 * plan is applied at most once, whichever replies are lost.
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
  // A plan made on an older generation would silently undo what was accepted
  // since. Its base must be the head, and the head's row version is a condition
  // of the commit, so that no other change can be accepted in between.
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

/** Determines by the plan's id whether the plan was applied. */
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
  // The plan is unconfirmed and the head has moved, so the commit can't take
  // effect any more.
  if ((head?.value.generation ?? 0) === plan.base) return new Err(unknown);
  return new Err(yield* describeConflict(plan, head?.value));
}

interface HeadAndPlan {
  readonly head: Versioned<HeadRow> | undefined;
  readonly planRow: Versioned<PlanRow>;
}

/**
 * Reads the head before the plan, so that a plan that moved the head reads as
 * confirmed. In the other order, a plan that somebody else confirms between the
 * two reads would be reported as overtaken by itself.
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

/**
 * Finds an unfinished move that shares a subject with the plan: what a move has
 * closed and will reopen must not change meanwhile.
 */
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
    // A move may hand items to the older system, so that it must not be
    // switched off meanwhile.
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
      // Confirming and abandoning both change this row's version, so that a
      // plan which one operator abandons while another confirms it is not
      // applied.
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

/** Condition that the head has not changed since it was read. */
function headCondition(head: Versioned<HeadRow> | undefined): TableCondition {
  return head === undefined
    ? {kind: 'absent', key: HEAD_KEY}
    : {kind: 'versionIs', key: HEAD_KEY, version: head.version};
}

/**
 * Writes of a new generation: its body, the head, and the deletion of the
 * oldest body.
 */
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
