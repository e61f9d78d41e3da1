import type {WorkspaceName} from '../types';
import {OVER_SHARE_FACTOR} from './constants';

/**
 * Tracks which workspaces have more of this entry's requests than their weight.
 */
export interface WorkspaceShares {
  readonly started: (workspace: WorkspaceName, weight: number) => void;
  readonly ended: (workspace: WorkspaceName) => void;
  /** Whether one more request would put the workspace over its share. */
  readonly isOverShare: (workspace: WorkspaceName, weight: number) => boolean;
  readonly inFlight: () => ReadonlyMap<WorkspaceName, number>;
}

interface Share {
  inFlight: number;
  weight: number;
}

/** Options of workspace shares. */
export interface WorkspaceSharesOptions {
  /** Requests per second at all entries, including refused ones. */
  readonly siteUse: (workspace: WorkspaceName) => number;
}

/** Creates shares without requests. */
export function createWorkspaceShares(
  options: WorkspaceSharesOptions,
): WorkspaceShares {
  const shares = new Map<WorkspaceName, Share>();
  let totalInFlight = 0;
  let totalWeight = 0;

  const started = (workspace: WorkspaceName, weight: number): void => {
    totalInFlight += 1;
    const share = shares.get(workspace);
    if (share !== undefined) {
      share.inFlight += 1;
      return;
    }
    shares.set(workspace, {inFlight: 1, weight});
    totalWeight += weight;
  };

  const ended = (workspace: WorkspaceName): void => {
    const share = shares.get(workspace);
    if (share === undefined) return;
    totalInFlight -= 1;
    share.inFlight -= 1;
    if (share.inFlight > 0) return;
    shares.delete(workspace);
    totalWeight -= share.weight;
  };

  /**
   * Whether a workspace is over its share of the requests in flight here and
   * also sends more than its share to the site. The first condition alone would
   * penalize a workspace whose callers happen to use this entry, and the second
   * would refuse a busy one even its own share.
   */
  const isOverShare = (workspace: WorkspaceName, weight: number): boolean => {
    const own = shares.get(workspace);
    const weights = totalWeight + (own === undefined ? weight : 0);
    const fair = ((totalInFlight + 1) * weight) / weights;
    if ((own?.inFlight ?? 0) + 1 <= fair) return false;
    return sendsOverShare(workspace, weight);
  };

  /**
   * Compares with the other workspaces only, since a flood dominates the mean.
   */
  const sendsOverShare = (
    workspace: WorkspaceName,
    weight: number,
  ): boolean => {
    let othersUse = 0;
    let othersWeight = 0;
    for (const [other, share] of shares) {
      if (other === workspace) continue;
      othersUse += options.siteUse(other);
      othersWeight += share.weight;
    }
    if (othersWeight === 0) return false;
    const fair = (othersUse * weight) / othersWeight;
    return options.siteUse(workspace) > OVER_SHARE_FACTOR * fair;
  };

  return {
    started,
    ended,
    isOverShare,
    inFlight: () =>
      new Map(
        [...shares].map(([name, {inFlight}]) => [name, inFlight] as const),
      ),
  };
}
