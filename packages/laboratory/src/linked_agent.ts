import {
  createTransferPacer,
  createSwarmNode,
  type Bytes,
  type MonotonicInstant,
  type TransferPacer,
  type SwarmNode,
  type TransferId,
} from '@hibiscusbeam/core';
import {createLink, type Link} from './link';
import type {SiteAgent, SwarmSite} from './swarm_site';

/** An agent of a site with its swarm node and its links. */
export interface LinkedAgent {
  readonly description: SiteAgent;
  readonly node: SwarmNode;
  readonly upLink: Link;
  readonly downLink: Link;
  /** What it takes of its links itself. */
  readonly upPace: TransferPacer;
  readonly downPace: TransferPacer;
  /** Downloads that were cancelled. */
  readonly cancelled: Set<TransferId>;
  /** When it next looks for what is due; undefined if nothing is. */
  wakeUp: number | undefined;
  readyAt: number | undefined;
  originBytes: Bytes;
  crossZoneBytes: Bytes;
}

/** Whether an agent has left, or its machine is frozen, at `now`. */
export function isFrozen(
  {description: {frozenFrom = Infinity, leavesAt = Infinity}}: LinkedAgent,
  now: MonotonicInstant,
): boolean {
  return now >= Math.min(frozenFrom, leavesAt);
}

/** Creates an agent as it stands before it takes part. */
export function createLinkedAgent(
  description: SiteAgent,
  site: SwarmSite,
  seed: number,
): LinkedAgent {
  const {instance, zone, linkRate, linkShare} = description;
  const node = createSwarmNode({instance, zone, seed, ...site.policy});
  const share = (): number => Math.min(node.transferShare(), linkShare);
  return {
    description,
    node,
    upLink: createLink(linkRate),
    downLink: createLink(linkRate),
    upPace: createTransferPacer(linkRate, share),
    downPace: createTransferPacer(linkRate, share),
    cancelled: new Set(),
    wakeUp: undefined,
    readyAt: undefined,
    originBytes: 0,
    crossZoneBytes: 0,
  };
}
