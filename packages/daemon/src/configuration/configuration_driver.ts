import {
  bodyKey,
  createGenerationManager,
  decodeHead,
  HEAD_KEY,
  learnGeneration,
  unreachable,
  type AcceptedConfiguration,
  type Generation,
  type GenerationManager,
  type HeadRow,
  type InstanceName,
  type GenerationManagerEffect,
  type PeerAnswer,
  type StartEffect,
  type StartReply,
} from '@hibiscusbeam/core';
import type {Platform} from '@hibiscusbeam/platform';
import type {PullConfigurationReply} from '@hibiscusbeam/wire';
import type {Log} from '../logs';
import {sleep, type Clock} from '../runtime/clock';
import {digestText} from '../runtime/digests';
import {drive} from '../runtime/drive';

/**
 * Period at which the manager checks for newer generations, in milliseconds.
 */
export const CONFIGURATION_TICK_PERIOD = 250;

/**
 * Higher than any generation, so that a pull returns only the peer's
 * generation.
 */
export const GENERATION_ONLY = Number.MAX_SAFE_INTEGER;

/** Exchanges configurations between processes. */
export interface ConfigurationTransport {
  /** Processes that may be queried, ready or not. */
  readonly peers: () => Promise<readonly InstanceName[]>;
  /** Peers with an open session. */
  readonly connected: () => readonly InstanceName[];
  readonly liveProcesses: () => number;
  readonly pull: (
    peer: InstanceName,
    knownGeneration: Generation,
  ) => Promise<PullConfigurationReply | undefined>;
  /** Sends a heartbeat to these peers at once. */
  readonly announce: (peers: readonly InstanceName[]) => void;
}

/** Options of {@link createConfigurationDriver}. */
export interface ConfigurationDriverOptions {
  readonly instance: InstanceName;
  readonly clock: Clock;
  readonly platform: Platform;
  readonly transport: ConfigurationTransport;
  readonly log: Log;
  readonly onAdopted: (accepted: AcceptedConfiguration) => void;
  /** Called with each head row that was read, newer or not. */
  readonly onHead: (head: HeadRow) => void;
}

/** Learns, holds and distributes the configuration of one process. */
export interface ConfigurationDriver {
  /** Resolves once the generation in force is known. */
  readonly start: () => Promise<void>;
  readonly current: () => AcceptedConfiguration | undefined;
  readonly receivePeerGeneration: (
    peer: InstanceName,
    generation: Generation,
  ) => void;
  /** Offers a configuration that this process has just committed. */
  readonly offerCommitted: (accepted: AcceptedConfiguration) => void;
  /** Reports that the head row has reached this generation. */
  readonly receiveHead: (generation: Generation) => void;
  readonly reply: (knownGeneration: Generation) => PullConfigurationReply;
  readonly tick: () => void;
  readonly dump: () => unknown;
}

/** Runs the core's generation manager against the table and the peers. */
export function createConfigurationDriver(
  options: ConfigurationDriverOptions,
): ConfigurationDriver {
  const {clock, platform, transport, log} = options;
  let manager: GenerationManager | undefined;

  const readRow = async (key: string) => {
    const result = await platform.table.read(key);
    return result.ok ? result.val : undefined;
  };

  const applyEffects = (effects: readonly GenerationManagerEffect[]): void => {
    for (const effect of effects) void applyEffect(effect);
  };

  const applyEffect = async (
    effect: GenerationManagerEffect,
  ): Promise<void> => {
    if (manager === undefined) return;
    switch (effect.kind) {
      case 'adopted': {
        const {generation, planId} = effect.accepted;
        log.info(`adopted generation ${generation} of plan ${planId}`);
        options.onAdopted(effect.accepted);
        return;
      }
      case 'announceGeneration':
        return transport.announce(effect.peers);
      case 'pullConfiguration':
        return pull(manager, effect.peer, effect.knownGeneration);
      case 'readHead': {
        const row = await readRow(HEAD_KEY);
        if (row === undefined) return;
        const head = decodeHead(row);
        if (head === undefined) return log.warn('cannot read the head row');
        options.onHead(head);
        return applyEffects(manager.receiveHead(head.generation, clock()));
      }
      case 'readBody': {
        const row = await readRow(bodyKey(effect.generation));
        if (row !== undefined) offer(manager, row.value, {kind: 'platform'});
        return;
      }
      default:
        return unreachable(effect);
    }
  };

  const offer = (
    activeManager: GenerationManager,
    value: unknown,
    source: Parameters<GenerationManager['offer']>[1],
  ): void => {
    const offered = activeManager.offer(value, source, clock());
    if (offered.ok) return applyEffects(offered.val);
    if (offered.val.kind === 'notGenuine') {
      log.warn(`refused a configuration whose digest does not match`);
    }
  };

  const pull = async (
    activeManager: GenerationManager,
    peer: InstanceName,
    knownGeneration: Generation,
  ): Promise<void> => {
    const reply = await transport.pull(peer, knownGeneration);
    const value = reply === undefined ? undefined : parseBody(reply.body);
    if (value === undefined) {
      return applyEffects(activeManager.recordPullFailure(peer, clock()));
    }
    offer(activeManager, value, {kind: 'peer', peer});
  };

  const performStartEffect = async (
    effect: StartEffect,
  ): Promise<StartReply> => {
    switch (effect.kind) {
      case 'readRow':
        return {kind: 'row', result: await platform.table.read(effect.key)};
      case 'commit':
        return {
          kind: 'commit',
          result: await platform.table.commit(effect.transaction),
        };
      case 'wait':
        await sleep(effect.duration);
        return {kind: 'waited'};
      case 'listPeers':
        return {kind: 'peers', peers: await transport.peers()};
      case 'askPeers': {
        const answers = await Promise.all(effect.peers.map(queryPeer));
        return {
          kind: 'peerAnswers',
          answers: answers.filter(answer => answer !== undefined),
        };
      }
      case 'pullFromPeer': {
        const reply = await transport.pull(effect.peer, -1);
        const body = reply === undefined ? undefined : parseBody(reply.body);
        return {kind: 'pulled', value: body};
      }
      default:
        return unreachable(effect);
    }
  };

  const queryPeer = async (
    peer: InstanceName,
  ): Promise<PeerAnswer | undefined> => {
    const reply = await transport.pull(peer, GENERATION_ONLY);
    if (reply === undefined) return undefined;
    if (!reply.ready) return {kind: 'starting', peer};
    return {kind: 'ready', peer, generation: reply.generation};
  };

  return {
    start: async () => {
      const {instance} = options;
      const start = await drive(
        learnGeneration({instance, digestText}),
        performStartEffect,
      );
      const startedAt = clock();
      manager = createGenerationManager({
        instance,
        digestText,
        start,
        startedAt,
      });
      log.info(`starts with generation ${start.generation}`);
      options.onAdopted(start);
    },
    current: () => manager?.current(),
    receivePeerGeneration: (peer, generation) => {
      if (manager === undefined) return;
      applyEffects(manager.receivePeerGeneration(peer, generation, clock()));
    },
    offerCommitted: accepted => {
      if (manager !== undefined) offer(manager, accepted, {kind: 'platform'});
    },
    receiveHead: generation => {
      if (manager === undefined) return;
      applyEffects(manager.receiveHead(generation, clock()));
    },
    reply: knownGeneration => createReply(manager?.current(), knownGeneration),
    tick: () => {
      if (manager === undefined) return;
      const effects = manager.tick({
        now: clock(),
        peers: transport.connected(),
        liveProcesses: transport.liveProcesses(),
      });
      applyEffects(effects);
    },
    dump: () => manager?.dump() ?? {state: 'starting'},
  };
}

function createReply(
  current: AcceptedConfiguration | undefined,
  knownGeneration: Generation,
): PullConfigurationReply {
  if (current === undefined) {
    return {generation: 0, body: new Uint8Array(), ready: false};
  }
  const {generation} = current;
  const isNewer = generation > knownGeneration;
  const body = isNewer ? Buffer.from(JSON.stringify(current)) : Buffer.of();
  return {generation, body, ready: true};
}

function parseBody(body: Uint8Array): unknown {
  if (body.length === 0) return undefined;
  try {
    return JSON.parse(Buffer.from(body).toString()) as unknown;
  } catch {
    return undefined;
  }
}
