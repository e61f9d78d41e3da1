import type {Result} from 'ts-results';
import type {Flow} from '../kernel/flow';
import type {
  CommitEffect,
  CommitOutcome,
  CommitReply,
  PlatformError,
  ReadReply,
  ReadRowEffect,
  TableKey,
  TableRow,
  TableTransaction,
} from '../types';
import type {ClockReply} from './types';

/** Any reply to a flow that accesses the table. */
type TableReply = ReadReply | CommitReply | ClockReply;

/** Reads one row. */
export function* readRow(
  key: TableKey,
): Flow<
  ReadRowEffect,
  TableReply,
  Result<TableRow | undefined, PlatformError>
> {
  const reply = yield {kind: 'readRow', key};
  if (reply.kind !== 'row') throw wrongReply('row', reply.kind);
  return reply.result;
}

/** Commits one transaction. */
export function* commit(
  transaction: TableTransaction,
): Flow<CommitEffect, TableReply, Result<CommitOutcome, PlatformError>> {
  const reply = yield {kind: 'commit', transaction};
  if (reply.kind !== 'commit') throw wrongReply('commit', reply.kind);
  return reply.result;
}

/** Describes a platform error as text. */
export function describePlatformError(error: PlatformError): string {
  if (error.kind === 'rateLimited') {
    return `rate limited for ${error.retryAfter} ms`;
  }
  return `${error.kind}: ${error.detail}`;
}

function wrongReply(expected: string, received: string): Error {
  return new Error(`driver replied with ${received}, not ${expected}`);
}
