import type {RunningProcess} from '../types/process';
import type {AgentSettings} from '../types/settings';

/** Starts an agent; rejects if it cannot listen. */
export function startAgent(settings: AgentSettings): Promise<RunningProcess> {
  return Promise.reject(
    new Error(`agent ${settings.instance} cannot start: not built yet`),
  );
}
