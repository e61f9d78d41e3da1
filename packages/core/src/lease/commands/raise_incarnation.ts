import {Err, Ok, type Result} from 'ts-results';
import * as z from 'zod';
import type {Flow} from '../../kernel/flow';
import type {
  CommitEffect,
  CommitReply,
  Incarnation,
  InstanceName,
  JsonValue,
  ReadReply,
  ReadRowEffect,
  TableCondition,
  TableKey,
  TableRow,
} from '../../types';
import {unchangedCondition} from '../lease_row';
import {commit, describePlatformError, readRow} from '../table_calls';
import type {LeaseError} from '../types';

/** Attempts before giving up because others start in the same slot. */
const MAX_ATTEMPTS = 8;

const incarnationRowSchema = z.object({
  incarnation: z.number().int().positive(),
  token: z.string(),
  /** Description that the agent gives of itself; see `AgentDescription`. */
  description: z.json().optional(),
});

/** Content of an agent's row. */
export type IncarnationRowValue = Readonly<
  z.infer<typeof incarnationRowSchema>
>;

/**
 * Incarnation of this start, with the condition that no later start has begun.
 */
export interface RaisedIncarnation {
  readonly incarnation: Incarnation;
  readonly stillCurrent: TableCondition;
}

/** A flow that raises an incarnation. */
export type IncarnationFlow = Flow<
  ReadRowEffect | CommitEffect,
  ReadReply | CommitReply,
  Result<RaisedIncarnation, LeaseError>
>;

/** Key of the row that numbers an agent's starts. */
export function incarnationKey(instance: InstanceName): TableKey {
  return `agents/${instance}`;
}

/**
 * Raises the row's incarnation once for this start, which the random and unique
 * `token` identifies. The row keeps `description` for others to read. The flow
 * is idempotent: run it again after an error.
 */
export function* raiseIncarnation(
  key: TableKey,
  token: string,
  description: JsonValue = null,
): IncarnationFlow {
  let committed = false;
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    const read = yield* readRow(key);
    if (read.err) return unavailable(describePlatformError(read.val));
    const current = parseIncarnationRow(read.val);
    if (current.err) return current;
    const row = read.val;
    // The token shows whether this start has already written the row. Otherwise
    // it would raise the number twice after a lost reply and fence itself off.
    if (row !== undefined && current.val?.token === token) {
      const {incarnation} = current.val;
      return Ok({
        incarnation,
        stillCurrent: unchangedCondition(key, row.version),
      });
    }
    if (committed) return Err({kind: 'replaced'});
    const incarnation = (current.val?.incarnation ?? 0) + 1;
    const value = {incarnation, token, description};
    const result = yield* commit({
      conditions: [unchangedCondition(key, row?.version)],
      writes: [{kind: 'put', key, value}],
    });
    if (result.err && result.val.kind !== 'replyLost') {
      return unavailable(describePlatformError(result.val));
    }
    committed = result.ok && result.val.kind === 'committed';
  }
  return Err({kind: 'contended'});
}

/** Parses an agent's row; an absent row is valid. */
export function parseIncarnationRow(
  row: TableRow | undefined,
): Result<IncarnationRowValue | undefined, LeaseError> {
  if (row === undefined) return Ok(undefined);
  const parsed = incarnationRowSchema.safeParse(row.value);
  if (parsed.success) return Ok(parsed.data);
  return Err({kind: 'malformedRow', detail: `${row.key} holds no incarnation`});
}

function unavailable(detail: string): Err<LeaseError> {
  return Err({kind: 'platformUnavailable', detail});
}
