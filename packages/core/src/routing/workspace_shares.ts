import type {WorkspaceName} from '../types';
import {OVER_SHARE_FACTOR} from './constants';

/** Which workspaces hold more of this entry's requests than their weight. */
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

/** Creates shares without requests. */
export function createWorkspaceShares(): WorkspaceShares {
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

  const isOverShare = (workspace: WorkspaceName, weight: number): boolean => {
    const own = shares.get(workspace);
    const weights = totalWeight + (own === undefined ? weight : 0);
    const fair = ((totalInFlight + 1) * weight) / weights;
    // Few requests say little, so a share of them has a spread of its root.
    const allowed = OVER_SHARE_FACTOR * fair + 2 * Math.sqrt(fair);
    return (own?.inFlight ?? 0) + 1 > allowed;
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
