import {lookUp} from '../../configuration/queries/lookup';
import type {MoveItem} from '../../configuration';
import type {Owner, SiteConfiguration} from '../../types';

/** Side on which a move opens the items that it closed. */
export type MoveDirection = 'forward' | 'back';

/** Returns the configuration with the moved items opened on one side. */
export function openItems(
  configuration: SiteConfiguration,
  items: readonly MoveItem[],
  direction: MoveDirection,
): SiteConfiguration {
  return items.reduce((opened, item) => {
    return item.kind === 'target'
      ? openTarget(opened, item, direction)
      : openWorkspace(opened, item, direction);
  }, configuration);
}

function openTarget(
  configuration: SiteConfiguration,
  item: MoveItem,
  direction: MoveDirection,
): SiteConfiguration {
  const before = lookUp(configuration.targets, item.name);
  if (before === undefined) return configuration;
  const target = {
    ...before,
    owner: ownerAfter(before.owner, item, direction),
    state: item.openAfter ? ('joined' as const) : ('leaving' as const),
  };
  const targets = {...configuration.targets, [item.name]: target};
  return {...configuration, targets};
}

function openWorkspace(
  configuration: SiteConfiguration,
  item: MoveItem,
  direction: MoveDirection,
): SiteConfiguration {
  const before = lookUp(configuration.workspaces, item.name);
  if (before === undefined) return configuration;
  const workspace = {
    ...before,
    owner: ownerAfter(before.owner, item, direction),
    open: item.openAfter,
  };
  const workspaces = {...configuration.workspaces, [item.name]: workspace};
  return {...configuration, workspaces};
}

function ownerAfter(
  before: Owner,
  item: MoveItem,
  direction: MoveDirection,
): Owner {
  return direction === 'forward' ? item.owner : before;
}
