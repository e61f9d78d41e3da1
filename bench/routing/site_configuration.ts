import {PEAK_PER_ENGINE, WORKSPACE_SHARES, workspaceName} from './load';
import type {EngineSettings} from './fake_engine';

/** The model that all engines serve. */
export const MODEL = 'repair-notes';
/** The version of the model that all engines have loaded. */
export const VERSION = 'sha256:1';

/**
 * With the best baseline policy at peak load, this engine meets the goals at
 * p95: first token after 1.9 s and 45 ms between tokens.
 */
export const ENGINE: EngineSettings = {
  slots: 48,
  stepMilliseconds: 14,
  sequenceMilliseconds: 0.3,
  prefillMilliseconds: 0.1,
  prefillChunk: 160,
  cacheTokens: 20_000,
};

/** Limits allow for bursts, which are ten times the mean. */
const LIMIT_FACTOR = 10;

/** Weight of a workspace in the fair queues: its usual share in percent. */
export function weightOf(workspace: string): number {
  const rank = Number(workspace.slice('workspace-'.length));
  return (WORKSPACE_SHARES[rank] ?? 0) * 100;
}

/** Requests per second that each workspace may send. */
export function workspaceLimits(
  engines: number,
): readonly {readonly workspace: string; readonly limit: number}[] {
  return WORKSPACE_SHARES.map((share, rank) => ({
    workspace: workspaceName(rank),
    limit: share * PEAK_PER_ENGINE * engines * LIMIT_FACTOR,
  }));
}
