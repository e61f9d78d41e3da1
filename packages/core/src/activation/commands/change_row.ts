import {Err, Ok, type Result} from 'ts-results';
import {conditionOf} from '../../lease/lease_row';
import {commit, describePlatformError, readRow} from '../../lease/table_calls';
import type {JsonValue, TableRow} from '../../types';
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

/** Tries before giving way to other targets that write the same row. */
const MAXIMUM_TRIES = 16;

/** A change of the row and how to tell that it has taken effect. */
export interface RowChange {
  readonly apply: (
    row: ActivationRow,
  ) => Result<ActivationRow, ActivationError>;
  readonly isDone: (entry: ActivationEntry | undefined) => boolean;
  /** Whether a later flow of the same activation has begun. */
  readonly isSuperseded: () => boolean;
}

/** Changes a model's activation row; lost replies are read back. */
export function* changeRow(
  settings: ActivationSettings,
  change: RowChange,
): ActivationFlow {
  const key = activationKey(settings.model);
  let row: TableRow | undefined;
  let known = false;
  for (let tries = 0; tries < MAXIMUM_TRIES; tries += 1) {
    if (!known) {
      const read = yield* readRow(key);
      if (read.err) return unavailable(describePlatformError(read.val));
      row = read.val;
    }
    if (change.isSuperseded()) return Err({kind: 'superseded'});
    const current = parseActivationRow(row);
    if (current.err) return current;
    if (change.isDone(current.val.targets[settings.target])) {
      return Ok(undefined);
    }
    const changed = change.apply(current.val);
    if (changed.err) return changed;
    const result = yield* commit({
      // Guards against a replaced agent's write: its count of itself as
      // serving would show as capacity that is not there.
      conditions: [conditionOf(key, row?.version), settings.stillCurrent],
      writes: [{kind: 'put', key, value: toJson(changed.val)}],
    });
    if (change.isSuperseded()) return Err({kind: 'superseded'});
    if (result.ok && result.val.kind === 'committed') return Ok(undefined);
    if (!result.ok) {
      // Guards against a swap begun on a permit that the table does not show,
      // and against a permit kept without being used: read what happened.
      if (result.val.kind !== 'replyLost') {
        return unavailable(describePlatformError(result.val));
      }
      known = false;
      continue;
    }
    const {failed} = result.val;
    if (failed.some(({key: failedKey}) => failedKey !== key)) {
      return Err({kind: 'replaced'});
    }
    row = failed[0]?.row;
    known = true;
  }
  return Err({kind: 'contended'});
}

function unavailable(detail: string): Result<void, ActivationError> {
  return Err({kind: 'platformUnavailable', detail});
}

function toJson(row: ActivationRow): JsonValue {
  return {generation: row.generation, targets: row.targets};
}
