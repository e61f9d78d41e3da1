import type {Result} from 'ts-results';
import type {
  CommitOutcome,
  PlatformError,
  TableKey,
  TableRow,
  TableTransaction,
} from './table';

/** Asks the driver to read one row. Replied to with {@link ReadReply}. */
export interface ReadRowEffect {
  readonly kind: 'readRow';
  readonly key: TableKey;
}

/** Asks the driver to commit. Replied to with {@link CommitReply}. */
export interface CommitEffect {
  readonly kind: 'commit';
  readonly transaction: TableTransaction;
}

/** Reply to {@link ReadRowEffect}; `undefined` means no such row. */
export interface ReadReply {
  readonly kind: 'row';
  readonly result: Result<TableRow | undefined, PlatformError>;
}

/** Reply to {@link CommitEffect}. */
export interface CommitReply {
  readonly kind: 'commit';
  readonly result: Result<CommitOutcome, PlatformError>;
}
