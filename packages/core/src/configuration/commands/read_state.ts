import {Err, Ok, type Result} from 'ts-results';
import type {PlanId, TableKey, TableRow} from '../../types';
import {decodeHead, decodePlanRow, HEAD_KEY, planKey} from '../queries/rows';
import type {HeadRow, PlanCommitFault, PlanRow, TableFlow} from '../types';
import {describePlatformError, readRow, retryAfter} from './table_steps';

/** A row's value with its version, for conditional writes. */
export interface Versioned<Value> {
  readonly value: Value;
  readonly version: number;
}

/** Reads the head row; undefined on a site without any accepted change. */
export function* readHead(): TableFlow<
  Result<Versioned<HeadRow> | undefined, PlanCommitFault>
> {
  const row = yield* readRowOrFault(HEAD_KEY);
  if (!row.ok) return row;
  if (row.val === undefined) return new Ok(undefined);
  const value = decodeHead(row.val);
  if (value === undefined) {
    return new Err({kind: 'malformedRow', key: HEAD_KEY});
  }
  return new Ok({value, version: row.val.version});
}

/** Reads a plan's row. */
export function* readPlan(
  planId: PlanId,
): TableFlow<Result<Versioned<PlanRow>, PlanCommitFault>> {
  const key = planKey(planId);
  const row = yield* readRowOrFault(key);
  if (!row.ok) return row;
  if (row.val === undefined) return new Err({kind: 'unknownPlan', planId});
  const value = decodePlanRow(row.val);
  if (value === undefined) return new Err({kind: 'malformedRow', key});
  return new Ok({value, version: row.val.version});
}

/** Reads a row; a platform error becomes a fault for the operator. */
export function* readRowOrFault(
  key: TableKey,
): TableFlow<Result<TableRow | undefined, PlanCommitFault>> {
  const row = yield* readRow(key);
  if (row.ok) return new Ok(row.val);
  return new Err({
    kind: 'platformUnavailable',
    detail: describePlatformError(row.val),
    retryAfter: retryAfter(row.val),
  });
}
