import type {Log} from '@hibiscusbeam/daemon';
import type {StoreReading} from '../ports';

/**
 * Creates a logger of the store's restores, which are detected by the readings
 * of a table.
 */
export function createEraLog(
  table: string,
  log: Log,
): (reading: Pick<StoreReading, 'era' | 'revision'>) => void {
  let newest: Pick<StoreReading, 'era' | 'revision'> | undefined;

  return ({era, revision}) => {
    if (newest !== undefined && era > newest.era) {
      const before = newest.revision;
      log.warn('store restored', {table, era, revision, before});
    }
    if (newest === undefined || era >= newest.era) newest = {era, revision};
  };
}
