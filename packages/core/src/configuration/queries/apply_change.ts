import {unreachable} from '../../kernel/flow';
import type {WorkspaceConfiguration} from '../../types';
import type {
  IntentChange,
  JoinChange,
  LeaveChange,
  PlanFacts,
  PlanFault,
  ServiceChange,
  WorkspaceChange,
} from '../types';
import {applyMove} from './apply_move';
import {applyServe} from './apply_serve';
import {
  planFault,
  withTarget,
  withWorkspace,
  withoutServing,
  type ChangedDraft,
  type Draft,
} from './draft';
import {lookUp} from './lookup';

/** Defaults of a workspace that no intent has described yet. */
export const DEFAULT_WORKSPACE: WorkspaceConfiguration = {
  owner: 'hibiscusbeam',
  open: true,
  priority: 100,
  weight: 1,
  requestsPerSecond: 100,
};

/** Applies one change to the draft, or returns the reasons against it. */
export function applyChange(
  draft: Draft,
  change: IntentChange,
  facts: PlanFacts,
  path: string,
): ChangedDraft {
  switch (change.kind) {
    case 'serve':
      return applyServe(draft, change, facts, path);
    case 'join':
      return applyJoin(draft, change, facts, path);
    case 'leave':
      return applyLeave(draft, change, path);
    case 'workspace':
      return applyWorkspace(draft, change, path);
    case 'service':
      return applyService(draft, change);
    case 'own':
      return applyMove(draft, change, path);
    case 'switch-off':
      return applySwitchOff(draft, facts, path);
    default:
      return unreachable(change);
  }
}

function applyJoin(
  draft: Draft,
  change: JoinChange,
  facts: PlanFacts,
  path: string,
): ChangedDraft {
  const faults: PlanFault[] = [];
  const switchedOff = draft.configuration.olderSystemSwitchedOff;
  if (change.owner === 'older-system' && switchedOff) {
    faults.push(planFault('switchedOff', path, 'the older system is off'));
  }
  let joined = draft;
  for (const name of change.targets) {
    const known = facts.targets.find(target => target.target === name);
    if (known === undefined) {
      const detail = `no target ${name} is known`;
      faults.push(planFault('unknownTarget', path, detail));
      continue;
    }
    const before = lookUp(draft.configuration.targets, name);
    const owner = before?.owner ?? change.owner ?? 'hibiscusbeam';
    if (change.owner !== undefined && change.owner !== owner) {
      const detail = `target ${name} changes owner by an own change`;
      faults.push(planFault('changesOwner', path, detail));
    }
    const service = known.service === undefined ? {} : {service: known.service};
    joined = withTarget(joined, name, {
      kind: known.kind,
      ...service,
      zone: known.zone,
      owner,
      fencing: change.fencing ?? known.fencing,
      state: 'joined',
    });
  }
  return {draft: faults.length === 0 ? joined : draft, faults};
}

function applyLeave(
  draft: Draft,
  change: LeaveChange,
  path: string,
): ChangedDraft {
  const faults: PlanFault[] = [];
  let left = draft;
  for (const name of change.targets) {
    const target = lookUp(draft.configuration.targets, name);
    if (target === undefined) {
      const detail = `target ${name} has not joined`;
      faults.push(planFault('unknownTarget', path, detail));
      continue;
    }
    if (target.owner !== 'hibiscusbeam') {
      const detail = `target ${name} is owned by the older system`;
      faults.push(planFault('ownedByOlderSystem', path, detail));
      continue;
    }
    left = withTarget(left, name, {...target, state: 'leaving'});
    left = withoutServing(left, name);
  }
  return {draft: faults.length === 0 ? left : draft, faults};
}

function applyWorkspace(
  draft: Draft,
  change: WorkspaceChange,
  path: string,
): ChangedDraft {
  const {configuration} = draft;
  const before = lookUp(configuration.workspaces, change.workspace);
  const owner = before?.owner ?? change.owner ?? DEFAULT_WORKSPACE.owner;
  if (change.owner !== undefined && change.owner !== owner) {
    const detail = `workspace ${change.workspace} changes owner by an own change`;
    return {draft, faults: [planFault('changesOwner', path, detail)]};
  }
  if (owner === 'older-system' && configuration.olderSystemSwitchedOff) {
    const detail = 'the older system is off';
    return {draft, faults: [planFault('switchedOff', path, detail)]};
  }
  const base = before ?? DEFAULT_WORKSPACE;
  const workspace: WorkspaceConfiguration = {
    owner,
    open: change.open ?? base.open,
    priority: change.priority ?? base.priority,
    weight: change.weight ?? base.weight,
    requestsPerSecond: change.requestsPerSecond ?? base.requestsPerSecond,
  };
  return {draft: withWorkspace(draft, change.workspace, workspace), faults: []};
}

function applyService(draft: Draft, change: ServiceChange): ChangedDraft {
  const {configuration} = draft;
  const service = {notRepeatable: [...change.notRepeatable].sort()};
  const services = {...configuration.services, [change.service]: service};
  return {
    draft: {...draft, configuration: {...configuration, services}},
    faults: [],
  };
}

function applySwitchOff(
  draft: Draft,
  facts: PlanFacts,
  path: string,
): ChangedDraft {
  const {configuration} = draft;
  const owned = [
    ...Object.entries(configuration.targets),
    ...Object.entries(configuration.workspaces),
  ]
    .filter(([, item]) => item.owner === 'older-system')
    .map(([name]) => name);
  const moving = [...facts.moves.flatMap(move => move.items), ...draft.moved];
  if (owned.length > 0 || moving.length > 0) {
    const names = [...owned, ...moving.map(item => item.name)];
    const detail = `move first: ${[...new Set(names)].join(', ')}`;
    return {
      draft,
      faults: [planFault('stillOwnedByOlderSystem', path, detail)],
    };
  }
  const switchedOff = {...configuration, olderSystemSwitchedOff: true};
  return {draft: {...draft, configuration: switchedOff}, faults: []};
}
