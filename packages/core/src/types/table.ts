import type {Milliseconds} from './units';

/** Key of a row in the platform's table service: segments joined by `/`. */
export type TableKey = string;

/** A JSON value as stored in a row. */
export type JsonValue =
  | null
  | boolean
  | number
  | string
  | readonly JsonValue[]
  | {readonly [name: string]: JsonValue};

/** A row as read. `version` increases by one with each write of the row. */
export interface TableRow {
  readonly key: TableKey;
  readonly version: number;
  readonly value: JsonValue;
}

/** What must hold for a transaction to take effect. */
export type TableCondition =
  | {readonly kind: 'absent'; readonly key: TableKey}
  | {
      readonly kind: 'versionIs';
      readonly key: TableKey;
      readonly version: number;
    };

/** One change within a transaction. */
export type TableWrite =
  | {readonly kind: 'put'; readonly key: TableKey; readonly value: JsonValue}
  | {readonly kind: 'delete'; readonly key: TableKey};

/** Takes effect completely or not at all, and only if every condition holds. */
export interface TableTransaction {
  readonly conditions: readonly TableCondition[];
  readonly writes: readonly TableWrite[];
}

/** The table's decision on a transaction. */
export type CommitOutcome =
  | {readonly kind: 'committed'}
  | {
      readonly kind: 'conditionFailed';
      /** Every key whose condition failed, with its current row. */
      readonly failed: readonly {
        readonly key: TableKey;
        readonly row: TableRow | undefined;
      }[];
    };

/**
 * A failure of the platform. `unavailable` and `rateLimited` mean the call
 * took no effect; after `replyLost` it may have taken effect.
 */
export type PlatformError =
  | {readonly kind: 'unavailable'; readonly detail: string}
  | {readonly kind: 'rateLimited'; readonly retryAfter: Milliseconds}
  | {readonly kind: 'replyLost'; readonly detail: string}
  | {readonly kind: 'notFound'; readonly detail: string}
  | {readonly kind: 'malformed'; readonly detail: string};
