import type {Log} from '@hibiscusbeam/daemon';
import type {StoreMoment} from '../ports';

/** Creates the log of the store's restores, as the readings of a table show them. */
export function createEraLog(
  table: string,
  log: Log,
): (reading: Pick<StoreMoment, 'era' | 'revision'>) => void {
  let newest: Pick<StoreMoment, 'era' | 'revision'> | undefined;

  return ({era, revision}) => {
    if (newest !== undefined && era > newest.era) {
      const before = newest.revision;
      log.warn('store restored', {table, era, revision, before});
    }
    if (newest === undefined || era >= newest.era) newest = {era, revision};
  };
}
