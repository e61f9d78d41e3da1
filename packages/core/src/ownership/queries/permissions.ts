import {lookUp} from '../../configuration/queries/lookup';
import type {
  Owner,
  SiteConfiguration,
  TargetName,
  WorkspaceName,
} from '../../types';

/** Whether we may give orders to the target, at this configuration. */
export function mayOrder(
  target: TargetName,
  configuration: SiteConfiguration,
): boolean {
  return sideMayOrder('hibiscusbeam', target, configuration);
}

/** Whether we may serve requests of the workspace, at this configuration. */
export function mayServe(
  workspace: WorkspaceName,
  configuration: SiteConfiguration,
): boolean {
  return sideMayServe('hibiscusbeam', workspace, configuration);
}

/** Whether `side` may give orders to the target, at this configuration. */
export function sideMayOrder(
  side: Owner,
  target: TargetName,
  configuration: SiteConfiguration,
): boolean {
  const found = lookUp(configuration.targets, target);
  // Failure: while a target moves, both systems would order it. A target that
  // moves is `leaving`, and then neither side may.
  return found?.owner === side && found.state === 'joined';
}

/** Whether `side` may serve the workspace, at this configuration. */
export function sideMayServe(
  side: Owner,
  workspace: WorkspaceName,
  configuration: SiteConfiguration,
): boolean {
  const found = lookUp(configuration.workspaces, workspace);
  // Failure: while a workspace moves, both systems would serve it. A workspace
  // that moves is closed, and then neither side may.
  return found?.owner === side && found.open;
}
