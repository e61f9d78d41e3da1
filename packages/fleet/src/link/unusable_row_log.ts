import type {Log} from '@hibiscusbeam/daemon';
import type {Revision, UnusableRow} from '../ports';

/** Says in the log which rows of a table can't be used. */
export interface UnusableRowLog {
  readonly note: (rows: readonly UnusableRow[]) => void;
}

/** Rows that are remembered; a table of them must not fill the memory. */
const MOST_REMEMBERED = 1_000;

/** Creates the log of a table: one line for each row, and for each change of it. */
export function createUnusableRowLog(table: string, log: Log): UnusableRowLog {
  const noted = new Map<string, Revision>();

  return {
    note: rows => {
      for (const {key, revision, reason} of rows) {
        if (noted.get(key) === revision) continue;
        if (noted.size >= MOST_REMEMBERED) noted.clear();
        noted.set(key, revision);
        log.warn('row not used', {table, key, revision, reason});
      }
    },
  };
}
