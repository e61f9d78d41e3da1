import {Err, Ok, type Result} from 'ts-results';
import type {Flow} from '../kernel/flow';
import type {CommitOutcome} from '../types';
import {recordWrite, type LeaseState} from './lease_state';
import {
  unchangedCondition,
  parseLeaseRow,
  type LeaseRow,
  type LeaseRowValue,
} from './lease_row';
import {readClock} from './read_clock';
import {commit, describePlatformError, readRow} from './table_calls';
import type {LeaseEffect, LeaseError, LeaseReply, LeaseSettings} from './types';

/** Outcome of a write of the lease's row. */
export type WriteOutcome =
  | {readonly kind: 'written'; readonly write: number}
  | {readonly kind: 'changed'; readonly row: LeaseRow | undefined}
  | {readonly kind: 'replaced'};

type WriteFlow = Flow<
  LeaseEffect,
  LeaseReply,
  Result<WriteOutcome, LeaseError>
>;

/**
 * Writes the row if its version is still `version`. After a lost reply the row
 * is read back.
 */
export function* writeRow(
  settings: LeaseSettings,
  leaseState: LeaseState,
  version: number | undefined,
  content: Pick<LeaseRowValue, 'fencing' | 'state'>,
): WriteFlow {
  const write = recordWrite(leaseState, yield* readClock());
  const value = {
    ...content,
    write,
    holder: settings.holder,
    token: settings.token,
    duration: settings.duration,
  };
  const result = yield* commit({
    conditions: [
      unchangedCondition(settings.key, version),
      ...(settings.conditions ?? []),
    ],
    writes: [{kind: 'put', key: settings.key, value}],
  });
  if (result.ok) return interpretOutcome(settings, write, result.val);
  // Without this, one lost reply would drop a lease that the table still
  // assigns to this holder and pause it for a full duration.
  if (result.val.kind === 'replyLost') return yield* readBack(settings, write);
  return unavailable(describePlatformError(result.val));
}

/** Reads and parses the lease's row. */
export function* readLeaseRow(
  settings: LeaseSettings,
): Flow<LeaseEffect, LeaseReply, Result<LeaseRow | undefined, LeaseError>> {
  const result = yield* readRow(settings.key);
  if (result.ok) return parseLeaseRow(result.val);
  return unavailable(describePlatformError(result.val));
}

function* readBack(settings: LeaseSettings, write: number): WriteFlow {
  const row = yield* readLeaseRow(settings);
  if (row.err) return row;
  if (isOwnWrite(settings, row.val, write)) return Ok({kind: 'written', write});
  return Ok({kind: 'changed', row: row.val});
}

function interpretOutcome(
  settings: LeaseSettings,
  write: number,
  outcome: CommitOutcome,
): Result<WriteOutcome, LeaseError> {
  if (outcome.kind === 'committed') return Ok({kind: 'written', write});
  const own = outcome.failed.find(failure => failure.key === settings.key);
  if (own === undefined) return Ok({kind: 'replaced'});
  const row = parseLeaseRow(own.row);
  if (row.err) return row;
  return Ok({kind: 'changed', row: row.val});
}

function isOwnWrite(
  settings: LeaseSettings,
  row: LeaseRow | undefined,
  write: number,
): boolean {
  return row?.value.token === settings.token && row.value.write === write;
}

function unavailable(detail: string): Err<LeaseError> {
  return Err({kind: 'platformUnavailable', detail});
}
