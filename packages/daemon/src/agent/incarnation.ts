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

/** Pause before the platform is called again. */
const RETRY_PAUSE_MS = 1_000;

/** The agent's incarnation with a token that is unique to this start. */
export interface AgentIncarnation extends RaisedIncarnation {
  readonly token: string;
}

/**
 * Raises the agent's incarnation and retries until that succeeds. Undefined if
 * the agent is stopped before.
 */
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
    log.warn('cannot raise the incarnation; retrying', {reason: raised.val});
    await sleep(RETRY_PAUSE_MS, stopping);
  }
  return undefined;
}
