import {randomUUID} from 'node:crypto';
import {
  incarnationKey,
  raiseIncarnation,
  type InstanceName,
  type JsonValue,
  type RaisedIncarnation,
} from '@hibiscusbeam/core';
import type {TableService} from '@hibiscusbeam/platform';
import type {Log} from '../logs';
import {sleep, type Clock} from '../runtime/clock';
import {runTableFlow} from '../runtime/table_flow';

/** Pause before the platform is asked again. */
const RETRY_PAUSE_MS = 1_000;

/** An incarnation with the token of this start. */
export interface AgentIncarnation extends RaisedIncarnation {
  readonly token: string;
}

/** Raises the agent's incarnation; tries for as long as it takes. */
export async function raiseAgentIncarnation(
  instance: InstanceName,
  description: JsonValue,
  table: TableService,
  clock: Clock,
  log: Log,
  stopping: AbortSignal,
): Promise<AgentIncarnation | undefined> {
  const token = randomUUID();
  const key = incarnationKey(instance);
  while (!stopping.aborted) {
    const raised = await runTableFlow(
      raiseIncarnation(key, token, description),
      table,
      clock,
    );
    if (raised.ok) return {...raised.val, token};
    log.warn('waits for its incarnation', {reason: raised.val});
    await sleep(RETRY_PAUSE_MS, stopping);
  }
  return undefined;
}
