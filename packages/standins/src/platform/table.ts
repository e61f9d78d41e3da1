import type {
  CommitOutcome,
  JsonValue,
  TableCondition,
  TableKey,
  TableRow,
  TableTransaction,
  TableWrite,
} from '@hibiscusbeam/core';

/** In-memory table with transactions. */
export interface Table {
  readonly read: (key: TableKey) => TableRow | undefined;
  readonly scan: (prefix: TableKey, limit: number) => readonly TableRow[];
  readonly commit: (transaction: TableTransaction) => CommitOutcome;
}

/**
 * Creates an empty table. A deleted row that is put again starts at version 1.
 */
export function createTable(): Table {
  const rows = new Map<TableKey, TableRow>();
  const sortedKeys: TableKey[] = [];

  function lowerBound(key: TableKey): number {
    let low = 0;
    let high = sortedKeys.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if ((sortedKeys[middle] ?? '') < key) low = middle + 1;
      else high = middle;
    }
    return low;
  }

  function put(key: TableKey, value: JsonValue): void {
    const current = rows.get(key);
    if (current === undefined) sortedKeys.splice(lowerBound(key), 0, key);
    rows.set(key, {key, version: (current?.version ?? 0) + 1, value});
  }

  function remove(key: TableKey): void {
    if (rows.delete(key)) sortedKeys.splice(lowerBound(key), 1);
  }

  function apply(write: TableWrite): void {
    switch (write.kind) {
      case 'put':
        return put(write.key, write.value);
      case 'delete':
        return remove(write.key);
    }
  }

  function isMet(condition: TableCondition): boolean {
    const row = rows.get(condition.key);
    switch (condition.kind) {
      case 'absent':
        return row === undefined;
      case 'versionIs':
        return row?.version === condition.version;
    }
  }

  return {
    read: key => rows.get(key),
    scan: (prefix, limit) => {
      const found: TableRow[] = [];
      for (let next = lowerBound(prefix); found.length < limit; next += 1) {
        const key = sortedKeys[next];
        if (key === undefined || !key.startsWith(prefix)) break;
        const row = rows.get(key);
        if (row !== undefined) found.push(row);
      }
      return found;
    },
    commit: ({conditions, writes}) => {
      const failed = conditions
        .filter(condition => !isMet(condition))
        .map(({key}) => ({key, row: rows.get(key)}));
      if (failed.length > 0) return {kind: 'conditionFailed', failed};
      writes.forEach(apply);
      return {kind: 'committed'};
    },
  };
}
