import {Err, Ok, type Result} from 'ts-results';
import {
  acceptedWrites,
  bodyKey,
  decodeAccepted,
  decodeHead,
  decodeMoveRow,
  digestConfiguration,
  HEAD_KEY,
  moveKey,
  openingPlanId,
  toJson,
  type CommitOptions,
  type HeadRow,
  type MoveRow,
} from '../../configuration';
import type {
  AcceptedConfiguration,
  Milliseconds,
  PlanId,
  TableKey,
  TableRow,
  TableTransaction,
} from '../../types';
import {findAwaitedProcesses} from '../queries/find_awaited';
import {openItems, type MoveDirection} from '../queries/open_items';
import type {
  MoveEffect,
  MoveFault,
  MoveFlow,
  MoveOutcome,
  MoveReply,
} from '../types';

/** Pause before the processes or the platform are queried again. */
const RETRY_INTERVAL: Milliseconds = 500;

/** Options of a move that is to be finished. */
export interface FinishMoveOptions extends CommitOptions {
  /** Id of the plan that started the move. */
  readonly moveId: PlanId;
  /**
   * `back` reopens the items on the side that owned them. It waits for no
   * process, because no generation has ever allowed the new side to act on
   * them.
   */
  readonly direction: MoveDirection;
}

interface MoveRows {
  readonly move: MoveRow;
  readonly moveVersion: number;
  readonly head: HeadRow;
  readonly headVersion: number;
  readonly accepted: AcceptedConfiguration;
}

/**
 * Resumes a confirmed move from its rows: waits until both sides have closed,
 * then opens the new side in the next generation. All state is in the table, so
 * any process may start this again at any time, also several at once. It
 * retries through platform outages.
 */
export function* finishMove(
  options: FinishMoveOptions,
): MoveFlow<Result<MoveOutcome, MoveFault>> {
  for (;;) {
    const move = yield* readMove(options);
    if (move.kind === 'settled') return move.result;
    if (move.kind === 'known') yield* advanceMove(options, move);
    else yield* waitFor(RETRY_INTERVAL);
  }
}

type MoveLookup =
  | {
      readonly kind: 'settled';
      readonly result: Result<MoveOutcome, MoveFault>;
    }
  | {
      readonly kind: 'known';
      readonly move: MoveRow;
      readonly version: number;
    }
  | {readonly kind: 'unreadable'};

function* readMove(options: FinishMoveOptions): MoveFlow<MoveLookup> {
  const {moveId} = options;
  const key = moveKey(moveId);
  const row = yield* readRow(key);
  if (row === 'unreadable') return {kind: 'unreadable'};
  if (row === undefined) return failed({kind: 'unknownMove', moveId});
  const move = decodeMoveRow(row);
  if (move === undefined) return failed({kind: 'malformedRow', key});
  if (move.state.kind === 'closed') {
    return {kind: 'known', move, version: row.version};
  }
  const {kind, generation} = move.state;
  return {kind: 'settled', result: new Ok({kind, generation})};
}

function failed(fault: MoveFault): MoveLookup {
  return {kind: 'settled', result: new Err(fault)};
}

function* advanceMove(
  options: FinishMoveOptions,
  known: Extract<MoveLookup, {kind: 'known'}>,
): MoveFlow<void> {
  const {move} = known;
  // The closing generation must have reached every process first. Otherwise the
  // new side would open while a process still acts for the old one.
  if (options.direction === 'forward' && !(yield* isClosed(move))) return;
  const rows = yield* readConfiguration(options, move, known.version);
  if (rows === undefined) {
    yield* waitFor(RETRY_INTERVAL);
    return;
  }
  const reply = yield {
    kind: 'commit',
    transaction: buildTransaction(options, rows),
  };
  if (reply.kind !== 'commit') throw new Error('driver: expected a commit');
  // Whatever the outcome, the move's row contains the result; it is read next.
  if (!reply.result.ok) yield* waitFor(RETRY_INTERVAL);
}

/**
 * Whether both sides are closed. If not, it reports the awaited processes and
 * pauses.
 */
function* isClosed(move: MoveRow): MoveFlow<boolean> {
  const reply = yield {kind: 'readProcesses'};
  if (reply.kind !== 'processes') throw new Error('driver: expected processes');
  const {items} = move.move;
  const processes = findAwaitedProcesses(move.closedAt, items, reply.reports);
  if (processes.length === 0) return true;
  const waited = yield {
    kind: 'awaitProcesses',
    processes,
    duration: RETRY_INTERVAL,
  };
  if (waited.kind !== 'waited') throw new Error('driver: expected a pause');
  return false;
}

function* readConfiguration(
  options: FinishMoveOptions,
  move: MoveRow,
  moveVersion: number,
): MoveFlow<MoveRows | undefined> {
  const headRow = yield* readRow(HEAD_KEY);
  if (headRow === 'unreadable' || headRow === undefined) return undefined;
  const head = decodeHead(headRow);
  if (head === undefined) return undefined;
  const body = yield* readRow(bodyKey(head.generation));
  if (body === 'unreadable' || body === undefined) return undefined;
  const accepted = decodeAccepted(body.value, options.digestText);
  if (accepted === undefined) return undefined;
  const headVersion = headRow.version;
  return {move, moveVersion, head, headVersion, accepted};
}

function buildTransaction(
  options: FinishMoveOptions,
  rows: MoveRows,
): TableTransaction {
  const {moveId, direction, digestText, bodiesKept} = options;
  const {move, head} = rows;
  const {items} = move.move;
  const generation = head.generation + 1;
  const before = rows.accepted.configuration;
  const configuration = openItems(before, items, direction);
  const planId = openingPlanId(moveId);
  const digest = digestConfiguration(digestText, planId, configuration);
  const moves = head.moves.filter(other => other !== moveId);
  const kind = direction === 'forward' ? 'opened' : 'cancelled';
  const settled: MoveRow = {...move, state: {kind, generation}};
  const key = moveKey(moveId);
  return {
    conditions: [
      {kind: 'versionIs', key: HEAD_KEY, version: rows.headVersion},
      {kind: 'absent', key: bodyKey(generation)},
      // Without this condition, two processes could finish the same move, or
      // one could cancel it while the other opens it, and the second would undo
      // what was accepted in between.
      {kind: 'versionIs', key, version: rows.moveVersion},
    ],
    writes: [
      {kind: 'put', key, value: toJson(settled)},
      ...acceptedWrites(
        {generation, digest, planId, configuration},
        {generation, digest, planId, moves},
        bodiesKept,
      ),
    ],
  };
}

function* readRow(
  key: TableKey,
): Generator<MoveEffect, TableRow | undefined | 'unreadable', MoveReply> {
  const reply = yield {kind: 'readRow', key};
  if (reply.kind !== 'row') throw new Error('driver: expected a row');
  return reply.result.ok ? reply.result.val : 'unreadable';
}

function* waitFor(duration: Milliseconds): MoveFlow<void> {
  const reply = yield {kind: 'wait', duration};
  if (reply.kind !== 'waited') throw new Error('driver: expected a pause');
}
