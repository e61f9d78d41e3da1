import {Err, Ok, type Result} from 'ts-results';
import type {
  AcceptedConfiguration,
  DigestText,
  Generation,
  InstanceName,
  MonotonicInstant,
} from '../../types';
import {hash32, rendezvousOrder} from '../../utils/hash';
import {decodeAccepted} from '../queries/rows';
import type {
  GenerationManagerBounds,
  GenerationManagerEffect,
  GenerationManagerTick,
  OfferFault,
  OfferSource,
} from '../types';
import {DEFAULT_GENERATION_MANAGER_BOUNDS} from './generation_manager_bounds';

/** What a generation keeper is made from. */
export interface GenerationManagerOptions {
  readonly instance: InstanceName;
  readonly digestText: DigestText;
  /** What `learnGeneration` returned. */
  readonly start: AcceptedConfiguration;
  readonly startedAt: MonotonicInstant;
  readonly bounds?: GenerationManagerBounds;
}

/** One process's hold on the configuration in force. */
export interface GenerationManager {
  readonly current: () => AcceptedConfiguration;
  /** Takes a configuration from the table or a peer, if it is higher. */
  readonly offer: (
    value: unknown,
    source: OfferSource,
    now: MonotonicInstant,
  ) => Result<readonly GenerationManagerEffect[], OfferFault>;
  /** Takes the generation that a peer's heartbeat carried. */
  readonly receivePeerGeneration: (
    peer: InstanceName,
    generation: Generation,
    now: MonotonicInstant,
  ) => readonly GenerationManagerEffect[];
  /** Takes the generation of the head row; 0 if there is no such row. */
  readonly receiveHead: (
    generation: Generation,
    now: MonotonicInstant,
  ) => readonly GenerationManagerEffect[];
  /** Takes that a peer did not send its configuration. */
  readonly recordPullFailure: (
    peer: InstanceName,
    now: MonotonicInstant,
  ) => readonly GenerationManagerEffect[];
  /** To be called a few times a second. */
  readonly tick: (
    tick: GenerationManagerTick,
  ) => readonly GenerationManagerEffect[];
  readonly dump: () => GenerationManagerDump;
}

/** A keeper's state, for people. */
export interface GenerationManagerDump {
  readonly generation: Generation;
  readonly digest: string;
  readonly planId: string;
  /** Highest generation that the platform or a peer has named. */
  readonly highestHeard: Generation;
  readonly pullingFrom: InstanceName | undefined;
}

interface Pull {
  readonly peer: InstanceName;
  readonly startedAt: MonotonicInstant;
}

/** Makes the part that adopts, spreads and looks for generations. */
export function createGenerationManager(
  options: GenerationManagerOptions,
): GenerationManager {
  const {instance, digestText} = options;
  const bounds = options.bounds ?? DEFAULT_GENERATION_MANAGER_BOUNDS;
  let current = options.start;
  let head: Generation = current.generation;
  let peers: readonly InstanceName[] = [];
  let pull: Pull | undefined;
  let nextPollAt: MonotonicInstant | undefined;
  const peerGenerations = new Map<InstanceName, Generation>();

  function offer(
    value: unknown,
    source: OfferSource,
    now: MonotonicInstant,
  ): Result<readonly GenerationManagerEffect[], OfferFault> {
    if (source.kind === 'peer') endPull(source.peer);
    const accepted = decodeAccepted(value, digestText);
    // Failure: a damaged or half-written body would be in force here and
    // nowhere else. Its digest covers all of the configuration.
    if (accepted === undefined) {
      if (source.kind === 'peer') peerGenerations.delete(source.peer);
      return new Err({kind: 'notGenuine'});
    }
    // Failure: messages arrive late and crossed; an older configuration would
    // revert an accepted one. Generations never go down here.
    if (accepted.generation <= current.generation) {
      if (source.kind === 'peer') {
        peerGenerations.set(source.peer, accepted.generation);
      }
      return new Err({kind: 'notHigher', current: current.generation});
    }
    current = accepted;
    head = Math.max(head, accepted.generation);
    if (source.kind === 'peer') {
      peerGenerations.set(source.peer, accepted.generation);
    }
    return new Ok([
      {kind: 'adopted', accepted},
      ...announce(),
      ...catchUp(now),
    ]);
  }

  function announce(): readonly GenerationManagerEffect[] {
    const {generation} = current;
    const behind = peers.filter(
      peer => (peerGenerations.get(peer) ?? 0) < generation,
    );
    const subject = `${instance}/${generation}`;
    const chosen = rendezvousOrder(subject, behind).slice(0, bounds.fanOut);
    if (chosen.length === 0) return [];
    return [{kind: 'announceGeneration', generation, peers: chosen}];
  }

  function receivePeerGeneration(
    peer: InstanceName,
    generation: Generation,
    now: MonotonicInstant,
  ): readonly GenerationManagerEffect[] {
    peerGenerations.set(peer, generation);
    return catchUp(now);
  }

  function receiveHead(
    generation: Generation,
    now: MonotonicInstant,
  ): readonly GenerationManagerEffect[] {
    head = Math.max(head, generation);
    if (head <= current.generation) return [];
    const holders = [...peerGenerations.values()].filter(
      known => known >= head,
    );
    // A peer that has it spares the table a read of the whole body.
    if (holders.length > 0 && pull === undefined) return catchUp(now);
    return [{kind: 'readBody', generation: head}];
  }

  function catchUp(now: MonotonicInstant): readonly GenerationManagerEffect[] {
    if (pull !== undefined && now - pull.startedAt < bounds.pullTimeout) {
      return [];
    }
    const tried = pull?.peer;
    const ahead = [...peerGenerations]
      .filter(([peer, known]) => known > current.generation && peer !== tried)
      .sort(([, left], [, right]) => right - left);
    const [best] = ahead;
    if (best === undefined) {
      pull = undefined;
      return [];
    }
    const peer = chooseAmongBest(ahead, best[1]);
    pull = {peer, startedAt: now};
    const knownGeneration = current.generation;
    return [{kind: 'pullConfiguration', peer, knownGeneration}];
  }

  function chooseAmongBest(
    ahead: readonly (readonly [InstanceName, Generation])[],
    highest: Generation,
  ): InstanceName {
    const best = ahead.filter(([, known]) => known === highest);
    const names = best.map(([peer]) => peer);
    return rendezvousOrder(`${instance}/${highest}`, names)[0] ?? '';
  }

  function recordPullFailure(
    peer: InstanceName,
    now: MonotonicInstant,
  ): readonly GenerationManagerEffect[] {
    endPull(peer);
    peerGenerations.delete(peer);
    return catchUp(now);
  }

  function endPull(peer: InstanceName): void {
    if (pull?.peer === peer) pull = undefined;
  }

  function tick(
    next: GenerationManagerTick,
  ): readonly GenerationManagerEffect[] {
    peers = next.peers;
    const known = new Set(peers);
    for (const peer of peerGenerations.keys()) {
      if (!known.has(peer)) peerGenerations.delete(peer);
    }
    return [...catchUp(next.now), ...pollHead(next)];
  }

  function pollHead(
    next: GenerationManagerTick,
  ): readonly GenerationManagerEffect[] {
    // Failure: hundreds of processes that poll at a fixed period use up the
    // table's reads, which the older system and claims need as well. The
    // period grows with the number of processes, so that the total is fixed.
    const shared = (next.liveProcesses / bounds.headReadsPerSecond) * 1_000;
    const period = Math.max(bounds.minPollPeriod, shared);
    nextPollAt ??= options.startedAt + period * pollPhase(instance);
    if (next.now < nextPollAt) return [];
    nextPollAt = next.now + period;
    return [{kind: 'readHead'}];
  }

  return {
    current: () => current,
    offer,
    receivePeerGeneration,
    receiveHead,
    recordPullFailure,
    tick,
    dump: () => ({
      generation: current.generation,
      digest: current.digest,
      planId: current.planId,
      highestHeard: Math.max(head, ...peerGenerations.values()),
      pullingFrom: pull?.peer,
    }),
  };
}

/** Where in the first period an instance polls, in [0, 1): spread evenly. */
function pollPhase(instance: InstanceName): number {
  return hash32(instance) / 2 ** 32;
}
