import {Err, Ok, type Result} from 'ts-results';
import * as z from 'zod';
import type {TableCondition, TableKey, TableRow} from '../types';
import type {LeaseError} from './types';

const leaseRowSchema = z.object({
  fencing: z.number().int().positive(),
  holder: z.string(),
  token: z.string(),
  /** Sequence number of the write among all writes of its token. */
  write: z.number().int().nonnegative(),
  duration: z.number().positive(),
  state: z.enum(['held', 'released']),
});

/** Content of a lease's row. */
export type LeaseRowValue = Readonly<z.infer<typeof leaseRowSchema>>;

/** A lease's row together with its version. */
export interface LeaseRow {
  readonly version: number;
  readonly value: LeaseRowValue;
}

/** Parses a row; an absent row is valid. */
export function parseLeaseRow(
  row: TableRow | undefined,
): Result<LeaseRow | undefined, LeaseError> {
  if (row === undefined) return Ok(undefined);
  const parsed = leaseRowSchema.safeParse(row.value);
  if (parsed.success) return Ok({version: row.version, value: parsed.data});
  return Err({kind: 'malformedRow', detail: `${row.key} holds no lease`});
}

/** Condition that a row has not changed since it was read. */
export function unchangedCondition(
  key: TableKey,
  version: number | undefined,
): TableCondition {
  if (version === undefined) return {kind: 'absent', key};
  return {kind: 'versionIs', key, version};
}
