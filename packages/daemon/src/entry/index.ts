import type {RunningProcess} from '../types/process';
import type {EntrySettings} from '../types/settings';

/** Starts an entry; rejects if it cannot listen. */
export function startEntry(settings: EntrySettings): Promise<RunningProcess> {
  return Promise.reject(
    new Error(`entry ${settings.instance} cannot start: not built yet`),
  );
}
