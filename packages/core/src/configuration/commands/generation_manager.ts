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

/** Options of a generation manager. */
export interface GenerationManagerOptions {
  readonly instance: InstanceName;
  readonly digestText: DigestText;
  /** Result of `learnGeneration`. */
  readonly start: AcceptedConfiguration;
  readonly startedAt: MonotonicInstant;
  readonly bounds?: GenerationManagerBounds;
}

/**
 * Tracks the configuration in force for one process and propagates it to peers.
 */
export interface GenerationManager {
  readonly current: () => AcceptedConfiguration;
  /**
   * Adopts a configuration from the table or a peer if its generation is higher
   * than the current one.
   */
  readonly offer: (
    value: unknown,
    source: OfferSource,
    now: MonotonicInstant,
  ) => Result<readonly GenerationManagerEffect[], OfferFault>;
  /** Handles the generation in a peer's heartbeat. */
  readonly receivePeerGeneration: (
    peer: InstanceName,
    generation: Generation,
    now: MonotonicInstant,
  ) => readonly GenerationManagerEffect[];
  /** Handles the generation of the head row; 0 if there is no such row. */
  readonly receiveHead: (
    generation: Generation,
    now: MonotonicInstant,
  ) => readonly GenerationManagerEffect[];
  /** Handles a pull in which the peer sent no configuration. */
  readonly recordPullFailure: (
    peer: InstanceName,
    now: MonotonicInstant,
  ) => readonly GenerationManagerEffect[];
  /** Must be called a few times a second. */
  readonly tick: (
    tick: GenerationManagerTick,
  ) => readonly GenerationManagerEffect[];
  readonly dump: () => GenerationManagerDump;
}

/** State of a generation manager, for diagnosis. */
export interface GenerationManagerDump {
  readonly generation: Generation;
  readonly digest: string;
  readonly planId: string;
  /** Highest generation that the platform or a peer has reported. */
  readonly highestHeard: Generation;
  readonly pullingFrom: InstanceName | undefined;
}

interface Pull {
  readonly peer: InstanceName;
  readonly startedAt: MonotonicInstant;
}

/** Creates a manager that adopts, announces and polls for generations. */
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
  /** Generations reported by peers. */
  const seen = new Map<InstanceName, Generation>();

  function offer(
    value: unknown,
    source: OfferSource,
    now: MonotonicInstant,
  ): Result<readonly GenerationManagerEffect[], OfferFault> {
    if (source.kind === 'peer') endPull(source.peer);
    const accepted = decodeAccepted(value, digestText);
    // The digest covers the whole configuration, so that a damaged or partially
    // written body is not adopted.
    if (accepted === undefined) {
      if (source.kind === 'peer') seen.delete(source.peer);
      return new Err({kind: 'notGenuine'});
    }
    // Messages may arrive late and out of order. The generation of a process
    // never decreases, so that an old configuration can't revert an accepted
    // one.
    if (accepted.generation <= current.generation) {
      if (source.kind === 'peer') seen.set(source.peer, accepted.generation);
      return new Err({kind: 'notHigher', current: current.generation});
    }
    current = accepted;
    head = Math.max(head, accepted.generation);
    if (source.kind === 'peer') seen.set(source.peer, accepted.generation);
    return new Ok([
      {kind: 'adopted', accepted},
      ...announce(),
      ...catchUp(now),
    ]);
  }

  function announce(): readonly GenerationManagerEffect[] {
    const {generation} = current;
    const behind = peers.filter(peer => (seen.get(peer) ?? 0) < generation);
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
    seen.set(peer, generation);
    return catchUp(now);
  }

  function receiveHead(
    generation: Generation,
    now: MonotonicInstant,
  ): readonly GenerationManagerEffect[] {
    head = Math.max(head, generation);
    if (head <= current.generation) return [];
    const holders = [...seen.values()].filter(known => known >= head);
    // Pulling from a peer that holds the generation saves reading the whole
    // body from the table.
    if (holders.length > 0 && pull === undefined) return catchUp(now);
    return [{kind: 'readBody', generation: head}];
  }

  function catchUp(now: MonotonicInstant): readonly GenerationManagerEffect[] {
    if (pull !== undefined && now - pull.startedAt < bounds.pullTimeout) {
      return [];
    }
    const tried = pull?.peer;
    const ahead = [...seen]
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
    seen.delete(peer);
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
    for (const peer of seen.keys()) if (!known.has(peer)) seen.delete(peer);
    return [...catchUp(next.now), ...pollHead(next)];
  }

  function pollHead(
    next: GenerationManagerTick,
  ): readonly GenerationManagerEffect[] {
    // The period grows with the number of processes, so that the total read
    // rate is fixed. Hundreds of processes with a fixed period would use up the
    // table's read capacity, which the older system and claims need as well.
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
      highestHeard: Math.max(head, ...seen.values()),
      pullingFrom: pull?.peer,
    }),
  };
}

/**
 * Phase of an instance's first poll within the period, in [0, 1), spread evenly
 * over instances.
 */
function pollPhase(instance: InstanceName): number {
  return hash32(instance) / 2 ** 32;
}
