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

/** A simulated agent with its swarm node and its links. */
export interface SimulatedAgent {
  readonly description: SiteAgent;
  readonly node: SwarmNode;
  readonly uplink: Link;
  readonly downlink: Link;
  /** Limit its transfers to its share of the links. */
  readonly uploadPacer: TransferPacer;
  readonly downloadPacer: TransferPacer;
  /** Downloads that were cancelled. */
  readonly cancelled: Set<TransferId>;
  /** Time of its next scheduled tick; undefined if there is none. */
  wakeUpAt: number | undefined;
  readyAt: number | undefined;
  originBytes: Bytes;
  crossZoneBytes: Bytes;
}

/** Whether an agent has left, or its machine is frozen, at `now`. */
export function isUnresponsive(
  {description: {frozenFrom = Infinity, leavesAt = Infinity}}: SimulatedAgent,
  now: MonotonicInstant,
): boolean {
  return now >= Math.min(frozenFrom, leavesAt);
}

/** Creates an agent that has not joined yet. */
export function createSimulatedAgent(
  description: SiteAgent,
  site: SwarmSite,
  seed: number,
): SimulatedAgent {
  const {instance, zone, linkRate, linkShare} = description;
  const node = createSwarmNode({instance, zone, seed, ...site.policy});
  const share = (): number => Math.min(node.transferShare(), linkShare);
  return {
    description,
    node,
    uplink: createLink(linkRate),
    downlink: createLink(linkRate),
    uploadPacer: createTransferPacer(linkRate, share),
    downloadPacer: createTransferPacer(linkRate, share),
    cancelled: new Set(),
    wakeUpAt: undefined,
    readyAt: undefined,
    originBytes: 0,
    crossZoneBytes: 0,
  };
}
