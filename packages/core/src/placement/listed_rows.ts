import type {ListedTarget} from './types';

/** A target as listed, with the position of its row's last write. */
export interface ListedRow {
  readonly target: ListedTarget;
  /** Grows with each write to the store. */
  readonly revision: number;
}

/**
 * Returns the targets without those that have ended and whose address another
 * one of the service uses now; their rows stay listed for a few heartbeats.
 */
export function withoutReplacedTargets(
  rows: readonly ListedRow[],
): readonly ListedTarget[] {
  const newest = new Map<string, ListedRow>();
  for (const row of rows) {
    const other = newest.get(placeOf(row));
    if (other === undefined || row.revision > other.revision) {
      newest.set(placeOf(row), row);
    }
  }
  return rows
    .filter(row => newest.get(placeOf(row)) === row)
    .map(({target}) => target);
}

function placeOf({target: {service, address}}: ListedRow): string {
  return `${service} ${address}`;
}
