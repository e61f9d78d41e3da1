import type {Log} from '@hibiscusbeam/daemon';
import type {Revision, UnusableRow} from '../ports';

/** Logs the rows of a table that can't be used. */
export interface UnusableRowLog {
  readonly record: (rows: readonly UnusableRow[]) => void;
}

/**
 * Maximum number of remembered rows, which bounds memory for a table full of
 * unusable ones.
 */
const MAX_REMEMBERED_ROWS = 1_000;

/**
 * Creates the log of a table: one line for each unusable row and for each
 * change of it, but only their number if there are too many to remember.
 */
export function createUnusableRowLog(table: string, log: Log): UnusableRowLog {
  const loggedRevisions = new Map<string, Revision>();

  let loggedCount = 0;

  return {
    record: rows => {
      const count = rows.length;
      if (count > MAX_REMEMBERED_ROWS) {
        if (count !== loggedCount) log.warn('rows not used', {table, count});
        loggedCount = count;
        return;
      }
      for (const {key, revision, reason} of rows) {
        if (loggedRevisions.get(key) === revision) continue;
        if (loggedRevisions.size >= MAX_REMEMBERED_ROWS) {
          loggedRevisions.clear();
        }
        loggedRevisions.set(key, revision);
        log.warn('row not used', {table, key, revision, reason});
      }
    },
  };
}
