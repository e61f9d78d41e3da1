import {lookUp} from '../../configuration/queries/lookup';
import type {
  Owner,
  SiteConfiguration,
  TargetName,
  WorkspaceName,
} from '../../types';

/**
 * Whether hibiscusbeam may give orders to the target under this configuration.
 */
export function mayOrder(
  target: TargetName,
  configuration: SiteConfiguration,
): boolean {
  return sideMayOrder('hibiscusbeam', target, configuration);
}

/**
 * Whether hibiscusbeam may serve requests of the workspace under this
 * configuration.
 */
export function mayServe(
  workspace: WorkspaceName,
  configuration: SiteConfiguration,
): boolean {
  return sideMayServe('hibiscusbeam', workspace, configuration);
}

/** Whether `side` may give orders to the target under this configuration. */
export function sideMayOrder(
  side: Owner,
  target: TargetName,
  configuration: SiteConfiguration,
): boolean {
  const found = lookUp(configuration.targets, target);
  // A target is `leaving` while it moves, and then neither side may give it
  // orders. Otherwise both systems would.
  return found?.owner === side && found.state === 'joined';
}

/** Whether `side` may serve the workspace under this configuration. */
export function sideMayServe(
  side: Owner,
  workspace: WorkspaceName,
  configuration: SiteConfiguration,
): boolean {
  const found = lookUp(configuration.workspaces, workspace);
  // A workspace is closed while it moves, and then neither side may serve it.
  // Otherwise both systems would.
  return found?.owner === side && found.open;
}
