import type {MoveItem, OwnerChange, PlanFault} from '../types';
import {
  planFault,
  withTarget,
  withWorkspace,
  withoutServing,
  type ChangedDraft,
  type Draft,
} from './draft';
import {lookUp} from './lookup';

/**
 * Closes the items that an `own` change moves. Neither side serves a closed
 * item; in a later generation, the move flow gives it to the new side, open if
 * it was open before.
 */
export function applyMove(
  draft: Draft,
  change: OwnerChange,
  path: string,
): ChangedDraft {
  const faults: PlanFault[] = [];
  const {configuration} = draft;
  if (change.owner === 'older-system' && configuration.olderSystemSwitchedOff) {
    faults.push(planFault('switchedOff', path, 'the older system is off'));
  }
  let moved = draft;
  for (const name of change.targets) {
    const target = lookUp(configuration.targets, name);
    if (target === undefined) {
      const detail = `target ${name} has not joined`;
      faults.push(planFault('unknownTarget', path, detail));
    } else if (target.owner !== change.owner) {
      const openAfter = target.state === 'joined';
      moved = withTarget(moved, name, {...target, state: 'leaving'});
      moved = withoutServing(moved, name);
      moved = withMoved(moved, {
        kind: 'target',
        name,
        owner: change.owner,
        openAfter,
      });
    }
  }
  for (const name of change.workspaces) {
    const workspace = lookUp(configuration.workspaces, name);
    if (workspace === undefined) {
      const detail = `workspace ${name} is not configured`;
      faults.push(planFault('unknownWorkspace', path, detail));
    } else if (workspace.owner !== change.owner) {
      const openAfter = workspace.open;
      moved = withWorkspace(moved, name, {...workspace, open: false});
      moved = withMoved(moved, {
        kind: 'workspace',
        name,
        owner: change.owner,
        openAfter,
      });
    }
  }
  return {draft: faults.length === 0 ? moved : draft, faults};
}

function withMoved(draft: Draft, item: MoveItem): Draft {
  return {...draft, moved: [...draft.moved, item]};
}
