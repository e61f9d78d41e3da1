import type {
  CommitOutcome,
  JsonValue,
  TableCondition,
  TableKey,
  TableRow,
  TableTransaction,
} from '@hibiscusbeam/core';

/** The platform's table, in memory. */
export interface FakeTable {
  readonly read: (key: TableKey) => TableRow | undefined;
  readonly commit: (transaction: TableTransaction) => CommitOutcome;
  /** Writes without a condition, as another system would. */
  readonly put: (key: TableKey, value: JsonValue) => void;
}

/** Creates an empty table; `onPut` sees every write that takes effect. */
export function createFakeTable(
  onPut: (key: TableKey, value: JsonValue) => void = () => {},
): FakeTable {
  const rows = new Map<TableKey, TableRow>();

  function holds(condition: TableCondition): boolean {
    const row = rows.get(condition.key);
    if (condition.kind === 'absent') return row === undefined;
    return row?.version === condition.version;
  }

  function put(key: TableKey, value: JsonValue): void {
    const version = (rows.get(key)?.version ?? 0) + 1;
    rows.set(key, {key, version, value});
    onPut(key, value);
  }

  return {
    read: key => rows.get(key),
    put,
    commit({conditions, writes}) {
      const failed = conditions
        .filter(condition => !holds(condition))
        .map(({key}) => ({key, row: rows.get(key)}));
      if (failed.length > 0) return {kind: 'conditionFailed', failed};
      for (const write of writes) {
        if (write.kind === 'put') put(write.key, write.value);
        else rows.delete(write.key);
      }
      return {kind: 'committed'};
    },
  };
}
