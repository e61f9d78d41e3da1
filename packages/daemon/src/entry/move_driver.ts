import {
  finishMove,
  unreachable,
  type AwaitedProcess,
  type Generation,
  type HeadRow,
  type Milliseconds,
  type MonotonicInstant,
  type MoveEffect,
  type MoveReply,
  type PlanId,
} from '@hibiscusbeam/core';
import type {TableService} from '@hibiscusbeam/platform';
import type {Log} from '../logs';
import {every, sleep, type Clock} from '../runtime/clock';
import {digestText} from '../runtime/digests';
import type {ProcessSurvey} from './process_survey';

/** How often an entry checks for open moves to drive. */
const CHECK_PERIOD: Milliseconds = 500;

/** Delay per rank before an entry takes over an open move. */
const TAKEOVER_DELAY: Milliseconds = 5_000;

/** Entries that drive one move at the same time; others follow as these die. */
const MAX_DRIVERS_PER_MOVE = 3;

/** Limits the load of surveys on a site with hundreds of processes. */
const MAX_QUERIES_PER_SECOND = 200;

/** Drives open moves until they are finished. */
export interface MoveDriver {
  /** Updates the set of open moves from the head row. */
  readonly receiveHead: (head: HeadRow) => void;
  /** Starts at once; for the entry that has confirmed the plan. */
  readonly begin: (moveId: PlanId) => void;
  readonly dump: () => unknown;
  readonly stop: () => void;
}

/** Options of {@link createMoveDriver}. */
export interface MoveDriverOptions {
  readonly table: TableService;
  readonly clock: Clock;
  readonly survey: ProcessSurvey;
  /** Position of this entry among the live ones for a move; 0 is first. */
  readonly rank: (moveId: PlanId) => number;
  readonly onOpened: (generation: Generation) => void;
  readonly log: Log;
}

interface OpenMove {
  readonly seenAt: MonotonicInstant;
  carried: boolean;
  awaited: readonly AwaitedProcess[];
  /** Number of processes that the last survey returned. */
  queriedProcesses: number;
}

/**
 * Creates a driver that runs core's move flow on the table and the processes.
 * All state is in the table, so several entries may drive one move at the same
 * time, and any of them may fail.
 */
export function createMoveDriver(options: MoveDriverOptions): MoveDriver {
  const {table, clock, log} = options;
  const open = new Map<PlanId, OpenMove>();
  const stopping = new AbortController();

  const trackMove = (moveId: PlanId): OpenMove => {
    const known = open.get(moveId);
    if (known !== undefined) return known;
    const tracked: OpenMove = {
      seenAt: clock(),
      carried: false,
      awaited: [],
      queriedProcesses: 0,
    };
    open.set(moveId, tracked);
    return tracked;
  };

  const driveMove = async (moveId: PlanId, move: OpenMove): Promise<void> => {
    if (move.carried) return;
    move.carried = true;
    log.info(`driving move ${moveId}`);
    const flow = finishMove({moveId, direction: 'forward', digestText});
    let step = flow.next();
    while (step.done !== true) {
      const reply = await perform(moveId, move, step.value);
      if (stopping.signal.aborted) return;
      step = flow.next(reply);
    }
    open.delete(moveId);
    const result = step.value;
    if (result.err) {
      return log.error(`cannot finish move ${moveId}`, {
        reason: result.val,
      });
    }
    const {kind, generation} = result.val;
    log.info(`move ${moveId} is ${kind} by generation ${generation}`);
    options.onOpened(generation);
  };

  const perform = async (
    moveId: PlanId,
    move: OpenMove,
    effect: MoveEffect,
  ): Promise<MoveReply> => {
    switch (effect.kind) {
      case 'readRow':
        return {kind: 'row', result: await table.read(effect.key)};
      case 'commit':
        return {
          kind: 'commit',
          result: await table.commit(effect.transaction),
        };
      case 'wait':
        await sleep(effect.duration, stopping.signal);
        return {kind: 'waited'};
      case 'readProcesses': {
        const reports = await options.survey();
        move.queriedProcesses = reports.length;
        return {kind: 'processes', reports};
      }
      case 'awaitProcesses': {
        recordAwaited(moveId, move, effect.processes);
        const spread = (move.queriedProcesses / MAX_QUERIES_PER_SECOND) * 1_000;
        await sleep(Math.max(effect.duration, spread), stopping.signal);
        return {kind: 'waited'};
      }
      default:
        return unreachable(effect);
    }
  };

  const recordAwaited = (
    moveId: PlanId,
    move: OpenMove,
    awaited: readonly AwaitedProcess[],
  ): void => {
    const changed = JSON.stringify(awaited) !== JSON.stringify(move.awaited);
    move.awaited = awaited;
    if (!changed) return;
    const named = awaited.slice(0, MAX_LISTED_PROCESSES);
    log.info(`move ${moveId} waits for processes`, {
      count: awaited.length,
      named,
    });
  };

  const check = (): void => {
    for (const [moveId, move] of open) {
      if (move.carried) continue;
      const rank = options.rank(moveId);
      if (rank >= MAX_DRIVERS_PER_MOVE) continue;
      if (clock() - move.seenAt < rank * TAKEOVER_DELAY) continue;
      void driveMove(moveId, move);
    }
  };
  const stopChecks = every(CHECK_PERIOD, check);

  return {
    receiveHead: head => {
      for (const moveId of head.moves) trackMove(moveId);
      const stillOpen = new Set(head.moves);
      for (const [moveId, move] of open) {
        // A move that is being driven learns its result from its own row.
        if (!stillOpen.has(moveId) && !move.carried) open.delete(moveId);
      }
    },
    begin: moveId => void driveMove(moveId, trackMove(moveId)),
    dump: () =>
      [...open].map(([moveId, {carried, awaited}]) => ({
        moveId,
        carried,
        awaited: awaited.slice(0, MAX_LISTED_PROCESSES),
      })),
    stop: () => {
      stopping.abort();
      stopChecks();
    },
  };
}

/** Maximum number of processes listed in a log line or dump. */
const MAX_LISTED_PROCESSES = 20;
