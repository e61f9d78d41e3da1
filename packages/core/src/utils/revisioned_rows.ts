/** Rows that have changed since a revision. */
export interface ChangedRows<Row> {
  /** Oldest change first. */
  readonly rows: readonly Row[];
  /** The revision to pass next time. */
  readonly revision: number;
}

/** Rows by key, in the order of their last change. */
export interface RevisionedRows<Row> {
  readonly get: (key: string) => Row | undefined;
  /** Stores a row as the newest change. */
  readonly set: (key: string, row: Row) => void;
  readonly values: () => Iterable<Row>;
  /** Rows that changed after `revision`, at most `max`. */
  readonly changedSince: (revision: number, max: number) => ChangedRows<Row>;
}

/**
 * Creates the rows. At most `maxRows` are held: one more drops the row whose
 * key `selectEvicted` returns, by default the one with the oldest change. It
 * gets the rows in the order of their last change.
 */
export function createRevisionedRows<Row>(
  maxRows: number,
  selectEvicted: (rows: ReadonlyMap<string, Row>) => string = firstKey,
): RevisionedRows<Row> {
  const rows = new Map<string, Row>();
  const revisions = new Map<string, number>();
  let revision = 0;

  function set(key: string, row: Row): void {
    revision += 1;
    revisions.set(key, revision);
    rows.delete(key);
    rows.set(key, row);
    if (rows.size > maxRows) drop(selectEvicted(rows));
  }

  function drop(key: string): void {
    rows.delete(key);
    revisions.delete(key);
  }

  function changedSince(after: number, max: number): ChangedRows<Row> {
    if (after >= revision) return {rows: [], revision};
    const changed = [...rows].filter(
      ([key]) => (revisions.get(key) ?? 0) > after,
    );
    const taken = changed.slice(0, max);
    const last = taken.at(-1)?.[0] ?? '';
    const isAll = taken.length === changed.length;
    return {
      rows: taken.map(([, row]) => row),
      revision: isAll ? revision : (revisions.get(last) ?? after),
    };
  }

  return {
    get: key => rows.get(key),
    set,
    values: () => rows.values(),
    changedSince,
  };
}

function firstKey(rows: ReadonlyMap<string, unknown>): string {
  const [first = ''] = rows.keys();
  return first;
}
