import {
  hash32,
  unreachable,
  type Digest,
  type InstanceName,
  type Milliseconds,
  type SwarmEffect,
  type SwarmEvent,
  type TransferId,
  type UploadId,
} from '@hibiscusbeam/core';
import {createLink} from './link';
import {createLinkedAgent, type LinkedAgent} from './linked_agent';
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

/** An upload that was asked for. */
interface Upload {
  readonly id: UploadId;
  readonly from: LinkedAgent;
  readonly to: LinkedAgent;
  readonly transfer: TransferId;
  readonly digest: Digest;
}

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
  const originLink = createLink(site.originRate);
  const uploads = new Map<UploadId, Upload>();
  const joined: LinkedAgent[] = [];

  function isFrozen({description}: LinkedAgent): boolean {
    return clock.now() >= (description.frozenFrom ?? Infinity);
  }

  function tell(agent: LinkedAgent, event: SwarmEvent): void {
    if (isFrozen(agent)) return;
    for (const effect of agent.node.handle(event, clock.now())) {
      carryOut(agent, effect);
    }
    const at = agent.node.nextWakeUp();
    if (at === undefined || at === agent.wakeUp) return;
    agent.wakeUp = at;
    clock.later(Math.max(1, at - clock.now()), () => {
      agent.wakeUp = undefined;
      tell(agent, {kind: 'tick'});
    });
  }

  function carryOut(agent: LinkedAgent, effect: SwarmEffect): void {
    switch (effect.kind) {
      case 'askOrigin':
        return askOrigin(agent, effect.transfer, effect.digest);
      case 'askNeighbour':
        return askNeighbour(
          agent,
          effect.neighbour,
          effect.transfer,
          effect.digest,
        );
      case 'cancel':
        agent.cancelled.add(effect.transfer);
        return;
      case 'storeChunk': {
        const {digest, life} = effect;
        return clock.later(site.storeTime, () =>
          tell(agent, {kind: 'chunkStored', digest, life}),
        );
      }
      case 'announce':
        return announce(agent, effect.neighbours, effect.gained);
      case 'startUpload':
        return send(uploads.get(effect.upload)!, 0);
      case 'refuseUpload': {
        const {to, from, transfer} = uploads.get(effect.upload)!;
        const {failure} = effect;
        return clock.later(latency(from, to), () =>
          tell(to, {kind: 'requestFailed', transfer, failure}),
        );
      }
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

  function latency(from: LinkedAgent, to: LinkedAgent): Milliseconds {
    return site.latency(from.description.zone, to.description.zone);
  }

  function askOrigin(
    agent: LinkedAgent,
    transfer: TransferId,
    digest: Digest,
  ): void {
    if (clock.now() < site.originFrom) {
      const failure = {kind: 'unavailable'} as const;
      return clock.later(1, () =>
        tell(agent, {kind: 'requestFailed', transfer, failure}),
      );
    }
    sendFromOrigin(agent, transfer, digest, 0);
  }

  function sendFromOrigin(
    agent: LinkedAgent,
    transfer: TransferId,
    digest: Digest,
    sent: number,
  ): void {
    if (agent.cancelled.has(transfer)) return;
    const bytes = pieceAfter(sent);
    agent.originBytes += bytes;
    const through = originLink.carry(bytes, clock.now());
    clock.later(through - clock.now(), () => {
      receive(agent, transfer, digest, bytes, sent + bytes);
      if (sent + bytes < site.chunkSize) {
        sendFromOrigin(agent, transfer, digest, sent + bytes);
      }
    });
  }

  function askNeighbour(
    to: LinkedAgent,
    neighbour: InstanceName,
    transfer: TransferId,
    digest: Digest,
  ): void {
    const from = byName.get(neighbour)!;
    clock.later(latency(to, from), () => {
      const id = uploads.size + 1;
      uploads.set(id, {id, from, to, transfer, digest});
      const {instance} = to.description;
      tell(from, {
        kind: 'uploadAsked',
        upload: id,
        neighbour: instance,
        digest,
      });
    });
  }

  /** Sends an upload's next piece once the sender's pace lets it. */
  function send(upload: Upload, sent: number): void {
    const {id, from, to, transfer, digest} = upload;
    if (isFrozen(from)) return;
    if (to.cancelled.has(transfer)) {
      return tell(from, {kind: 'uploadEnded', upload: id});
    }
    const bytes = pieceAfter(sent);
    const paced = from.upPace.take(bytes, clock.now());
    clock.later(paced - clock.now(), () => {
      const through = from.upLink.carry(bytes, clock.now());
      if (to.description.zone !== from.description.zone) {
        to.crossZoneBytes += bytes;
      }
      clock.later(through - clock.now() + latency(from, to), () =>
        receive(to, transfer, digest, bytes, sent + bytes),
      );
      tell(from, {kind: 'uploadProgress', upload: id});
      if (sent + bytes < site.chunkSize) send(upload, sent + bytes);
      else tell(from, {kind: 'uploadEnded', upload: id});
    });
  }

  function receive(
    agent: LinkedAgent,
    transfer: TransferId,
    digest: Digest,
    bytes: number,
    received: number,
  ): void {
    const through = agent.downLink.carry(bytes, clock.now());
    clock.later(through - clock.now(), () => {
      const paced = agent.downPace.take(bytes, clock.now());
      clock.later(paced - clock.now(), () => {
        if (agent.cancelled.has(transfer)) return;
        if (received < site.chunkSize) {
          return tell(agent, {kind: 'progress', transfer, bytes});
        }
        tell(agent, {kind: 'chunkArrived', transfer, digest, verified: true});
      });
    });
  }

  function pieceAfter(sent: number): number {
    return Math.min(site.policy.pieceSize, site.chunkSize - sent);
  }

  function announce(
    from: LinkedAgent,
    neighbours: readonly InstanceName[],
    gained: readonly number[],
  ): void {
    const neighbour = from.description.instance;
    for (const name of neighbours) {
      const to = byName.get(name)!;
      clock.later(latency(from, to), () => {
        const have = {versionDigest: VERSION, gained};
        if (!isFrozen(to)) {
          return tell(to, {kind: 'neighbourHave', neighbour, ...have});
        }
        clock.later(LOST_AFTER, () =>
          tell(from, {kind: 'neighbourGone', neighbour: name}),
        );
      });
    }
  }

  function join(agent: LinkedAgent): void {
    joined.push(agent);
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
      holders: joined.map(({description}) => description.instance),
      originBytesPerSecond: site.originRate,
    });
  }

  for (const [place, agent] of agents.entries()) {
    const {joinsAt} = agent.description;
    const news = hash32(`${site.seed}:${place}`) % NEWS_SPREAD;
    clock.later(joinsAt, () => join(agent));
    clock.later(joinsAt + MEMBERS_TIME + news, () => want(agent));
  }
  clock.runUntil(
    () => agents.every(agent => agent.readyAt !== undefined || isFrozen(agent)),
    LONGEST_RUN,
  );
  return agents.map(agent => ({
    instance: agent.description.instance,
    readyAt: agent.readyAt,
    originBytes: agent.originBytes,
    crossZoneBytes: agent.crossZoneBytes,
  }));
}
