import {
  hash32,
  unreachable,
  type InstanceName,
  type Milliseconds,
  type SwarmEffect,
  type SwarmEvent,
} from '@hibiscusbeam/core';
import {createChunkTransfers} from './chunk_transfers';
import {
  createSimulatedAgent,
  isUnresponsive,
  type SimulatedAgent,
} from './simulated_agent';
import type {AgentResult, SwarmSite} from './swarm_site';
import {createVirtualClock} from './virtual_clock';

/** Virtual time after which a run ends. */
const MAX_RUN_TIME: Milliseconds = 60_000;

/** Time until the others know a joining agent: one call and one update. */
const MEMBERSHIP_DELAY: Milliseconds = 150;

/** Time without an answer after which a neighbour counts as lost. */
const NEIGHBOUR_TIMEOUT: Milliseconds = 600;

/** Spread of the times at which agents learn of a version. */
const VERSION_DELAY_SPREAD: Milliseconds = 100;

const VERSION = 'version';

/**
 * Simulates the distribution of one version. Agents decide as in production;
 * their links send pieces one after the other.
 */
export function runSwarm(site: SwarmSite): readonly AgentResult[] {
  const clock = createVirtualClock();
  const digests = Array.from({length: site.chunks}, (_, at) => `chunk-${at}`);
  const manifest = {
    model: 'model',
    label: VERSION,
    chunks: digests.map(digest => ({digest, size: site.chunkSize})),
  };
  const agents = site.agents.map((agent, index) =>
    createSimulatedAgent(agent, site, site.seed * 1000 + index),
  );
  const byName = new Map<InstanceName, SimulatedAgent>(
    agents.map(agent => [agent.description.instance, agent]),
  );
  let joined: readonly SimulatedAgent[] = [];
  const transfers = createChunkTransfers({site, clock, dispatch});

  function dispatch(agent: SimulatedAgent, event: SwarmEvent): void {
    if (isUnresponsive(agent, clock.now())) return;
    for (const effect of agent.node.handle(event, clock.now())) {
      runEffect(agent, effect);
    }
    scheduleWakeUp(agent);
  }

  function scheduleWakeUp(agent: SimulatedAgent): void {
    const at = agent.node.nextWakeUp();
    if (at === undefined || at === agent.wakeUpAt) return;
    agent.wakeUpAt = at;
    clock.schedule(Math.max(1, at - clock.now()), () => {
      agent.wakeUpAt = undefined;
      dispatch(agent, {kind: 'tick'});
    });
  }

  function runEffect(agent: SimulatedAgent, effect: SwarmEffect): void {
    switch (effect.kind) {
      case 'askOrigin':
        return transfers.requestFromOrigin({requester: agent, ...effect});
      case 'askNeighbour':
        return transfers.requestFromNeighbour(
          {requester: agent, ...effect},
          byName.get(effect.neighbour)!,
        );
      case 'cancel':
        agent.cancelled.add(effect.transfer);
        return;
      case 'storeChunk': {
        const {digest, life} = effect;
        return clock.schedule(site.storeTime, () =>
          dispatch(agent, {kind: 'chunkStored', digest, life}),
        );
      }
      case 'announce':
        for (const name of effect.neighbours) {
          announce(agent, byName.get(name)!, effect.gained);
        }
        return;
      case 'startUpload':
        return transfers.startUpload(effect.upload);
      case 'refuseUpload':
        return transfers.refuseUpload(effect.upload, effect.failure);
      case 'ready':
        agent.readyAt ??= clock.now();
        return;
      case 'cutOff':
      case 'stopUpload':
        return;
      default:
        unreachable(effect);
    }
  }

  function announce(
    from: SimulatedAgent,
    to: SimulatedAgent,
    gained: readonly number[],
  ): void {
    const {instance: neighbour, zone} = from.description;
    const {instance: frozenInstance} = to.description;
    clock.schedule(site.latency(zone, to.description.zone), () => {
      if (isUnresponsive(to, clock.now())) {
        return clock.schedule(NEIGHBOUR_TIMEOUT, () =>
          dispatch(from, {kind: 'neighbourGone', neighbour: frozenInstance}),
        );
      }
      const versionDigest = VERSION;
      dispatch(to, {kind: 'neighbourHave', neighbour, versionDigest, gained});
    });
  }

  function setMembers(next: readonly SimulatedAgent[]): void {
    joined = next;
    for (const other of joined) {
      const members = joined
        .filter(member => member !== other)
        .map(({description: {instance, zone}}) => ({instance, zone}));
      dispatch(other, {kind: 'membersChanged', members});
    }
  }

  function requestVersion(agent: SimulatedAgent): void {
    dispatch(agent, {
      kind: 'heldReported',
      life: 'engine',
      digests: agent.description.holds ? digests : [],
    });
    dispatch(agent, {
      kind: 'versionWanted',
      versionDigest: VERSION,
      manifest,
      prefer: 'origin-bytes',
      holders: 'members',
      originBytesPerSecond: site.originRate,
    });
  }

  for (const [index, agent] of agents.entries()) {
    const {joinsAt, versionKnownAt = joinsAt, leavesAt} = agent.description;
    const delay = hash32(`${site.seed}:${index}`) % VERSION_DELAY_SPREAD;
    clock.schedule(joinsAt, () => setMembers([...joined, agent]));
    clock.schedule(versionKnownAt + MEMBERSHIP_DELAY + delay, () =>
      requestVersion(agent),
    );
    if (leavesAt === undefined) continue;
    clock.schedule(leavesAt, () =>
      setMembers(joined.filter(member => member !== agent)),
    );
  }
  const isDone = (): boolean =>
    agents.every(
      agent =>
        agent.readyAt !== undefined || isUnresponsive(agent, clock.now()),
    );
  clock.runUntil(isDone, MAX_RUN_TIME);
  return agents.map(({description, ...result}) => ({
    instance: description.instance,
    readyAt: result.readyAt,
    originBytes: result.originBytes,
    crossZoneBytes: result.crossZoneBytes,
  }));
}
