import {PEAK_PER_ENGINE, WORKSPACE_SHARES, workspaceName} from './load';
import type {EngineSettings} from './fake_engine';

/** The one model that all engines serve. */
export const MODEL = 'repair-notes';
/** The version that they all have. */
export const VERSION = 'sha256:1';

/**
 * An engine that meets the brief's figures (first token 1.9 s and 45 ms
 * between tokens at p95) at the brief's peak under the best baseline; see
 * docs/design/0004_routing.md for the run that set it.
 */
export const ENGINE: EngineSettings = {
  slots: 48,
  stepMilliseconds: 14,
  sequenceMilliseconds: 0.3,
  prefillMilliseconds: 0.1,
  prefillChunk: 160,
  cacheTokens: 20_000,
};

/** Bursts are ten times the mean, so a limit leaves room for them. */
const LIMIT_FACTOR = 10;

/** A workspace's weight in the fair queues: its usual share, in percent. */
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
