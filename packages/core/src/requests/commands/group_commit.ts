import {Err, Ok, type Result} from 'ts-results';
import type {
  CommitOutcome,
  Milliseconds,
  MonotonicInstant,
  PlatformError,
  TableKey,
  TableTransaction,
} from '../../types';

/**
 * Identifies one transaction within a group commit; chosen by the submitter.
 */
export type MemberId = number;

/** Several independent transactions merged into one that the driver commits. */
export interface CommitBatch {
  readonly batch: number;
  readonly transaction: TableTransaction;
}

/** The result of one transaction. */
export interface MemberResult {
  readonly member: MemberId;
  readonly result: Result<CommitOutcome, PlatformError>;
}

/** Options of {@link createGroupCommit}. */
export interface GroupCommitOptions {
  /** Maximum number of rows in one batch; the table allows at most 100. */
  readonly maximumRows: number;
  /** How long a transaction waits for others to join its batch. */
  readonly window: Milliseconds;
  /** Maximum number of batches in flight; the next ones wait and grow. */
  readonly maximumInFlight: number;
}

/** Batches small transactions; each member gets its own result. */
export interface GroupCommit {
  readonly submit: (
    member: MemberId,
    transaction: TableTransaction,
    now: MonotonicInstant,
  ) => void;
  /** Returns the batches to commit now; each must be passed to `settle`. */
  readonly takeDue: (now: MonotonicInstant) => readonly CommitBatch[];
  /**
   * Handles a batch's reply; members without a result are sent again at once.
   */
  readonly settle: (
    batch: number,
    result: Result<CommitOutcome, PlatformError>,
  ) => readonly MemberResult[];
  /**
   * When to call `takeDue` next; `undefined`: not before the next `submit` or
   * `settle`.
   */
  readonly nextDue: () => MonotonicInstant | undefined;
}

interface Member {
  readonly member: MemberId;
  readonly transaction: TableTransaction;
  readonly keys: ReadonlySet<TableKey>;
  readonly due: MonotonicInstant;
}

type FailedRows = Extract<CommitOutcome, {kind: 'conditionFailed'}>['failed'];

function keysOf({conditions, writes}: TableTransaction): ReadonlySet<TableKey> {
  return new Set([...conditions, ...writes].map(part => part.key));
}

function failuresOf(member: Member, failed: FailedRows): FailedRows {
  return failed.filter(({key}) => member.keys.has(key));
}

function merge(members: readonly Member[]): TableTransaction {
  return {
    conditions: members.flatMap(member => member.transaction.conditions),
    writes: members.flatMap(member => member.transaction.writes),
  };
}

/** Creates a batcher for transactions that don't depend on one another. */
export function createGroupCommit(options: GroupCommitOptions): GroupCommit {
  const {maximumRows, window, maximumInFlight} = options;
  let waiting: readonly Member[] = [];
  /**
   * What remains of batches that failed in part, to be sent again separately.
   */
  const retries: (readonly Member[])[] = [];
  const inFlight = new Map<number, readonly Member[]>();
  let batchCount = 0;

  /** The longest-waiting members that fit into one batch. */
  function selectMembers(): readonly Member[] {
    const selected: Member[] = [];
    const keys = new Set<TableKey>();
    for (const member of waiting) {
      // Two claims of one key in one transaction would both find the row absent
      // and both be reported as successful, so they go into separate batches.
      const overlaps = [...member.keys].some(key => keys.has(key));
      if (overlaps) continue;
      const full = keys.size + member.keys.size > maximumRows;
      if (full && selected.length > 0) break;
      selected.push(member);
      for (const key of member.keys) keys.add(key);
    }
    return selected;
  }

  function send(members: readonly Member[]): CommitBatch {
    batchCount += 1;
    inFlight.set(batchCount, members);
    return {batch: batchCount, transaction: merge(members)};
  }

  function takeWaiting(now: MonotonicInstant): readonly Member[] | undefined {
    const [first] = waiting;
    if (first === undefined) return undefined;
    const rows = waiting.reduce((sum, member) => sum + member.keys.size, 0);
    if (first.due > now && rows < maximumRows) return undefined;
    const members = selectMembers();
    waiting = waiting.filter(member => !members.includes(member));
    return members;
  }

  /**
   * Reports the members whose conditions failed and queues the others again.
   */
  function split(
    members: readonly Member[],
    failed: FailedRows,
  ): readonly MemberResult[] {
    const atFault = members.filter(
      member => failuresOf(member, failed).length > 0,
    );
    // A reply that names no member's row can't be assigned to a member, and
    // resending the batch could go on forever.
    if (atFault.length === 0) {
      const detail = 'a failed condition without its row';
      return members.map(({member}) => ({
        member,
        result: Err({kind: 'malformed', detail}),
      }));
    }
    const rest = members.filter(member => !atFault.includes(member));
    if (rest.length > 0) retries.push(rest);
    return atFault.map(member => ({
      member: member.member,
      result: Ok({
        kind: 'conditionFailed',
        failed: failuresOf(member, failed),
      }),
    }));
  }

  return {
    submit(member, transaction, now) {
      const keys = keysOf(transaction);
      waiting = [...waiting, {member, transaction, keys, due: now + window}];
    },
    takeDue(now) {
      const batches: CommitBatch[] = [];
      while (inFlight.size < maximumInFlight) {
        const members = retries.shift() ?? takeWaiting(now);
        if (members === undefined) break;
        batches.push(send(members));
      }
      return batches;
    },
    settle(batch, result) {
      const members = inFlight.get(batch);
      // A duplicate reply must not give a member two results.
      if (members === undefined) return [];
      inFlight.delete(batch);
      if (result.ok && result.val.kind === 'conditionFailed') {
        return split(members, result.val.failed);
      }
      // Committed, refused or lost: one result for all, as for one transaction.
      return members.map(({member}) => ({member, result}));
    },
    nextDue() {
      if (inFlight.size >= maximumInFlight) return undefined;
      if (retries.length > 0) return -Infinity;
      return waiting[0]?.due;
    },
  };
}
