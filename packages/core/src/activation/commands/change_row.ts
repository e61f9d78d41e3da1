import {Err, Ok, type Result} from 'ts-results';
import type {Flow} from '../../kernel/flow';
import {unchangedCondition} from '../../lease/lease_row';
import {commit, describePlatformError, readRow} from '../../lease/table_calls';
import type {
  CommitEffect,
  CommitReply,
  JsonValue,
  ReadReply,
  ReadRowEffect,
  TableKey,
  TableRow,
} from '../../types';
import {
  activationKey,
  parseActivationRow,
  type ActivationEntry,
  type ActivationRow,
} from '../activation_row';
import type {
  ActivationError,
  ActivationFlow,
  ActivationSettings,
} from '../types';

/**
 * Attempts before giving up because other targets keep writing the same row.
 */
const MAX_ATTEMPTS = 16;

/** A change of the row and a check whether it has taken effect. */
export interface RowChange {
  readonly apply: (
    row: ActivationRow,
  ) => Result<ActivationRow, ActivationError>;
  readonly isDone: (entry: ActivationEntry | undefined) => boolean;
  /** Whether a later flow of the same activation has begun. */
  readonly isSuperseded: () => boolean;
}

type ChangeFlow<Value> = Flow<
  ReadRowEffect | CommitEffect,
  ReadReply | CommitReply,
  Result<Value, ActivationError>
>;

/** Outcome of a commit. */
type CommitResult =
  | {readonly kind: 'committed'}
  | {readonly kind: 'overtaken'; readonly row: TableRow | undefined}
  | {readonly kind: 'unknown'};

/**
 * Changes a model's activation row. After a lost reply the row is read again.
 */
export function* changeRow(
  settings: ActivationSettings,
  change: RowChange,
): ActivationFlow {
  const key = activationKey(settings.model);
  let lastResult: CommitResult = {kind: 'unknown'};
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    // Only the row counts: after a lost reply it is read again, so that no swap
    // starts with a permit that the table does not contain.
    const row: Result<TableRow | undefined, ActivationError> =
      lastResult.kind === 'overtaken' ? Ok(lastResult.row) : yield* read(key);
    if (row.err) return row;
    if (change.isSuperseded()) return Err({kind: 'superseded'});
    const current = parseActivationRow(row.val);
    if (current.err) return current;
    if (change.isDone(current.val.targets[settings.target])) {
      return Ok(undefined);
    }
    const changed = change.apply(current.val);
    if (changed.err) return changed;
    const result: Result<CommitResult, ActivationError> = yield* tryCommit(
      settings,
      row.val,
      changed.val,
    );
    if (result.err) return result;
    if (result.val.kind === 'committed') return Ok(undefined);
    lastResult = result.val;
  }
  return Err({kind: 'contended'});
}

function* tryCommit(
  settings: ActivationSettings,
  row: TableRow | undefined,
  changed: ActivationRow,
): ChangeFlow<CommitResult> {
  const key = activationKey(settings.model);
  const result = yield* commit({
    // Without this condition, a replaced agent could count itself as serving,
    // which would report capacity that does not exist.
    conditions: [unchangedCondition(key, row?.version), settings.stillCurrent],
    writes: [{kind: 'put', key, value: toJson(changed)}],
  });
  if (result.err) {
    if (result.val.kind === 'replyLost') return Ok({kind: 'unknown'});
    return unavailable(describePlatformError(result.val));
  }
  if (result.val.kind === 'committed') return Ok({kind: 'committed'});
  const {failed} = result.val;
  if (failed.some(failure => failure.key !== key)) {
    return Err({kind: 'replaced'});
  }
  return Ok({kind: 'overtaken', row: failed[0]?.row});
}

function* read(key: TableKey): ChangeFlow<TableRow | undefined> {
  const result = yield* readRow(key);
  if (result.ok) return result;
  return unavailable(describePlatformError(result.val));
}

function unavailable(detail: string): Result<never, ActivationError> {
  return Err({kind: 'platformUnavailable', detail});
}

function toJson(row: ActivationRow): JsonValue {
  return {generation: row.generation, targets: row.targets};
}
