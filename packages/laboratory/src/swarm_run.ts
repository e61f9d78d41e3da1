import {
  hash32,
  unreachable,
  type InstanceName,
  type Milliseconds,
  type SwarmEffect,
  type SwarmEvent,
} from '@hibiscusbeam/core';
import {createChunkTransfers} from './chunk_transfers';
import {createLinkedAgent, isFrozen, type LinkedAgent} from './linked_agent';
import type {AgentResult, SwarmSite} from './swarm_site';
import {createVirtualClock} from './virtual_clock';

/** Longest played time. */
const LONGEST_RUN: Milliseconds = 60_000;

/** Time until the others know of an agent that joins: a call and a change. */
const MEMBERS_TIME: Milliseconds = 150;

/** Time without an answer after which a neighbour counts as lost. */
const LOST_AFTER: Milliseconds = 600;

/** Spread of the moments at which agents hear of a version. */
const NEWS_SPREAD: Milliseconds = 100;

const VERSION = 'version';

/**
 * Plays the moving of one version with the decisions that agents serve with,
 * over links that carry pieces one after the other.
 */
export function runSwarm(site: SwarmSite): readonly AgentResult[] {
  const clock = createVirtualClock();
  const digests = Array.from({length: site.chunks}, (_, at) => `chunk-${at}`);
  const manifest = {
    model: 'model',
    label: VERSION,
    chunks: digests.map(digest => ({digest, size: site.chunkSize})),
  };
  const agents = site.agents.map((agent, place) =>
    createLinkedAgent(agent, site, site.seed * 1000 + place),
  );
  const byName = new Map<InstanceName, LinkedAgent>(
    agents.map(agent => [agent.description.instance, agent]),
  );
  let joined: readonly LinkedAgent[] = [];
  const transfers = createChunkTransfers({site, clock, tell});

  function tell(agent: LinkedAgent, event: SwarmEvent): void {
    if (isFrozen(agent, clock.now())) return;
    for (const effect of agent.node.handle(event, clock.now())) {
      carryOut(agent, effect);
    }
    wakeUpLater(agent);
  }

  function wakeUpLater(agent: LinkedAgent): void {
    const at = agent.node.nextWakeUp();
    if (at === undefined || at === agent.wakeUp) return;
    agent.wakeUp = at;
    clock.later(Math.max(1, at - clock.now()), () => {
      agent.wakeUp = undefined;
      tell(agent, {kind: 'tick'});
    });
  }

  function carryOut(by: LinkedAgent, effect: SwarmEffect): void {
    switch (effect.kind) {
      case 'askOrigin':
        return transfers.askOrigin({by, ...effect});
      case 'askNeighbour':
        return transfers.askNeighbour(
          {by, ...effect},
          byName.get(effect.neighbour)!,
        );
      case 'cancel':
        by.cancelled.add(effect.transfer);
        return;
      case 'storeChunk': {
        const {digest, life} = effect;
        return clock.later(site.storeTime, () =>
          tell(by, {kind: 'chunkStored', digest, life}),
        );
      }
      case 'announce':
        for (const name of effect.neighbours) {
          announce(by, byName.get(name)!, effect.gained);
        }
        return;
      case 'startUpload':
        return transfers.startUpload(effect.upload);
      case 'refuseUpload':
        return transfers.refuseUpload(effect.upload, effect.failure);
      case 'ready':
        by.readyAt ??= clock.now();
        return;
      case 'cutOff':
      case 'stopUpload':
        return;
      default:
        unreachable(effect);
    }
  }

  function announce(
    from: LinkedAgent,
    to: LinkedAgent,
    gained: readonly number[],
  ): void {
    const {instance: neighbour, zone} = from.description;
    const {instance: silent} = to.description;
    clock.later(site.latency(zone, to.description.zone), () => {
      if (isFrozen(to, clock.now())) {
        return clock.later(LOST_AFTER, () =>
          tell(from, {kind: 'neighbourGone', neighbour: silent}),
        );
      }
      const versionDigest = VERSION;
      tell(to, {kind: 'neighbourHave', neighbour, versionDigest, gained});
    });
  }

  function setMembers(next: readonly LinkedAgent[]): void {
    joined = next;
    for (const other of joined) {
      const members = joined
        .filter(member => member !== other)
        .map(({description: {instance, zone}}) => ({instance, zone}));
      tell(other, {kind: 'membersChanged', members});
    }
  }

  function want(agent: LinkedAgent): void {
    tell(agent, {
      kind: 'heldReported',
      life: 'engine',
      digests: agent.description.holds ? digests : [],
    });
    tell(agent, {
      kind: 'versionWanted',
      versionDigest: VERSION,
      manifest,
      prefer: 'origin-bytes',
      holders: 'members',
      originBytesPerSecond: site.originRate,
    });
  }

  for (const [place, agent] of agents.entries()) {
    const {joinsAt, wantsAt = joinsAt, leavesAt} = agent.description;
    const delay = hash32(`${site.seed}:${place}`) % NEWS_SPREAD;
    clock.later(joinsAt, () => setMembers([...joined, agent]));
    clock.later(wantsAt + MEMBERS_TIME + delay, () => want(agent));
    if (leavesAt === undefined) continue;
    clock.later(leavesAt, () =>
      setMembers(joined.filter(member => member !== agent)),
    );
  }
  const isDone = (): boolean =>
    agents.every(
      agent => agent.readyAt !== undefined || isFrozen(agent, clock.now()),
    );
  clock.runUntil(isDone, LONGEST_RUN);
  return agents.map(({description, ...result}) => ({
    instance: description.instance,
    readyAt: result.readyAt,
    originBytes: result.originBytes,
    crossZoneBytes: result.crossZoneBytes,
  }));
}
