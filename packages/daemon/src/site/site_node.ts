import {
  createMembership,
  TICK_PERIOD,
  type AcceptedConfiguration,
  type HeadRow,
  type Incarnation,
  type InstanceName,
  type Membership,
  type TargetName,
  type WorkspaceName,
} from '@hibiscusbeam/core';
import type {ListedInstance, Platform} from '@hibiscusbeam/platform';
import type {
  AgentServer,
  HaveDelta,
  ReportActivityReply,
  SlotTarget,
  TargetReport,
  WorkspaceUse,
} from '@hibiscusbeam/wire';
import {
  createConfigurationDriver,
  GENERATION_ONLY,
  CONFIGURATION_TICK_PERIOD,
  type ConfigurationDriver,
} from '../configuration/configuration_driver';
import {createLog, type Log, type LogPart} from '../logs';
import {every, type Clock} from '../runtime/clock';
import type {CommonSettings} from '../types/settings';
import {formatAddress} from '../utils/address';
import {createKnownProcesses, type KnownProcesses} from './known_processes';
import {
  startInstanceListPoller,
  type InstanceListPoller,
} from './instance_list_poller';
import {createPeerCalls, type ReportedGeneration} from './peer_calls';
import {createSessions, type Peer, type Sessions} from './sessions';
import {createSiteClientPool, type SiteClientPool} from './site_clients';
import {startSiteServer, type SiteServer} from './site_server';

/**
 * Targets and workspaces with requests or orders in progress, on which a
 * process may still act after a move has closed them.
 */
export interface Activity {
  readonly busyTargets: readonly TargetName[];
  readonly busyWorkspaces: readonly WorkspaceName[];
}

/** What an entry or an agent adds to the common node. */
export interface SiteNodeRole {
  readonly role: 'entry' | 'agent';
  /** Undefined until it is known; sessions are refused until then. */
  readonly incarnation: () => Incarnation | undefined;
  readonly target?: SlotTarget;
  readonly callerAddress?: string;
  readonly agentHandlers?: AgentServer;
  /** Present on agents: the report of the target for heartbeats. */
  readonly targetReport?: () => TargetReport;
  /** Present on entries: the workspaces' use for heartbeats to entries. */
  readonly workspaceUses?: () => readonly WorkspaceUse[];
  readonly onWorkspaceUses?: (
    peer: Peer,
    uses: readonly WorkspaceUse[],
  ) => void;
  readonly isLeaving: () => boolean;
  readonly dump: () => Readonly<Record<string, unknown>>;
  readonly onAdopted: (accepted: AcceptedConfiguration) => void;
  /** Where requests or orders are in progress now. */
  readonly activity: () => Activity;
  /** Called with each head row that was read. */
  readonly onHead?: (head: HeadRow) => void;
  readonly onTargetReport?: (peer: Peer, report: TargetReport) => void;
  readonly onHaveDelta?: (peer: Peer, delta: HaveDelta) => void;
  readonly onPeerOpened?: (peer: Peer) => void;
  readonly onPeerClosed?: (peer: Peer) => void;
  /** Called after each membership tick. */
  readonly onTick: () => void;
}

/** Options of {@link createSiteNode}. */
export interface SiteNodeOptions {
  readonly settings: CommonSettings;
  readonly clock: Clock;
  readonly platform: Platform;
  readonly role: SiteNodeRole;
  /** Called with the reason when a call of another process is refused. */
  readonly onRefused: (reason: string) => void;
}

/** The common part of every process of the site. */
export interface SiteNode {
  readonly membership: Membership;
  readonly sessions: Sessions;
  readonly configuration: ConfigurationDriver;
  readonly clients: SiteClientPool;
  readonly log: (part: LogPart) => Log;
  /** The platform's list as last read. */
  readonly listed: () => readonly ListedInstance[];
  readonly refreshList: () => Promise<readonly ListedInstance[]>;
  /** The generation of each listed process; undefined if it is silent. */
  readonly requestGenerations: () => Promise<readonly ReportedGeneration[]>;
  readonly knownProcesses: KnownProcesses;
  /** This process's own activity, as other processes receive it. */
  readonly ownActivity: () => ReportActivityReply;
  /** Another process's activity; undefined if it is silent. */
  readonly requestActivity: (
    address: string,
  ) => Promise<ReportActivityReply | undefined>;
  /** Starts listening and learns the generation; resolves when ready. */
  readonly start: () => Promise<void>;
  /** Sends goodbyes and waits for the calls in progress. */
  readonly stop: (reason: string) => Promise<void>;
}

/** Connects server, sessions, membership and configuration of a process. */
export function createSiteNode(options: SiteNodeOptions): SiteNode {
  const {settings, clock, platform, role} = options;
  const secrets = [settings.siteKey];
  const log = (part: LogPart): Log =>
    createLog({settings: settings.log, part, secrets});
  const siteLog = log('site');
  const clients = createSiteClientPool(settings.siteKey);
  const membership = createMembership(settings.instance);
  const knownProcesses = createKnownProcesses();
  let heartbeatCount = 0;
  let server: SiteServer | undefined;
  let poller: InstanceListPoller | undefined;
  const timers: (() => void)[] = [];

  // Only entries route by a target's report. In heartbeats to agents it would
  // take most of the bytes and serve no purpose.
  const heartbeat = (toRole: string) => {
    heartbeatCount += 1;
    return {
      message: {
        $case: 'heartbeat',
        heartbeat: {
          sequence: heartbeatCount,
          generation: configuration.current()?.generation ?? 0,
          leaving: role.isLeaving(),
          target: toRole === 'entry' ? role.targetReport?.() : undefined,
          uses: toRole === 'entry' ? [...(role.workspaceUses?.() ?? [])] : [],
        },
      },
    } as const;
  };

  const sessions = createSessions({
    clients,
    log: siteLog,
    hello: () => ({
      instance: settings.instance,
      role: role.role,
      zone: settings.zone,
      region: settings.region,
      address: formatAddress(settings.siteAddress),
      incarnation: role.incarnation() ?? 0,
      target: role.target,
      callerAddress: role.callerAddress ?? '',
    }),
    heartbeat: peer => heartbeat(peer.role),
    events: {
      opened: peer => {
        const {instance, zone, region, address} = peer;
        const peerRole = peer.role === 'entry' ? 'entry' : 'agent';
        membership.hello(
          {instance, role: peerRole, address, zone, region},
          peer.incarnation,
          clock(),
        );
        knownProcesses.hello(peer);
        role.onPeerOpened?.(peer);
      },
      received: (peer, {message}) => {
        switch (message?.$case) {
          case 'heartbeat': {
            const {sequence, leaving, generation, target, uses} =
              message.heartbeat;
            const {instance, incarnation} = peer;
            membership.heartbeat(
              {instance, incarnation, sequence, leaving},
              clock(),
            );
            if (generation > 0) {
              configuration.receivePeerGeneration(instance, generation);
            }
            if (target !== undefined) role.onTargetReport?.(peer, target);
            if (peer.role === 'entry') role.onWorkspaceUses?.(peer, uses);
            return;
          }
          case 'goodbye':
            knownProcesses.goodbye(peer.instance, peer.incarnation);
            membership.goodbye(peer.instance, peer.incarnation, clock());
            return;
          case 'haveDelta':
            role.onHaveDelta?.(peer, message.haveDelta);
            return;
          case 'hello':
          case undefined:
            return;
        }
      },
      closed: peer => {
        membership.sessionLost(peer.instance, peer.incarnation, clock());
        role.onPeerClosed?.(peer);
      },
    },
  });

  const addressOf = (instance: InstanceName): string | undefined =>
    membership.members().find(member => member.instance === instance)
      ?.address ??
    poller?.latest().find(line => line.instance === instance)?.address;

  const calls = createPeerCalls(clients, addressOf);

  const others = (lines: readonly ListedInstance[]) =>
    lines.filter(line => line.instance !== settings.instance);

  const configuration = createConfigurationDriver({
    instance: settings.instance,
    clock,
    platform,
    log: log('configuration'),
    onAdopted: role.onAdopted,
    onHead: role.onHead ?? (() => undefined),
    transport: {
      peers: async () => {
        const lines = await (poller?.refresh() ?? []);
        return others(lines).map(line => line.instance);
      },
      connected: () => sessions.peers().map(peer => peer.instance),
      liveProcesses: () => poller?.latest().length ?? 1,
      pull: calls.pull,
      announce: peers => {
        for (const peer of peers) sessions.send(peer, heartbeat(''));
      },
    },
  });

  const requestGenerations = async (): Promise<
    readonly ReportedGeneration[]
  > => {
    const {instance} = settings;
    const generation = configuration.current()?.generation;
    const reported = await calls.requestGenerations(
      others(poller?.latest() ?? []),
    );
    return [{instance, generation}, ...reported];
  };

  // Read in one turn of the event loop: if a generation was adopted between two
  // of the reads, a request that started before it could be missed.
  const ownActivity = (): ReportActivityReply => {
    const {busyTargets, busyWorkspaces} = role.activity();
    return {
      generation: configuration.current()?.generation ?? 0,
      busyTargets: [...busyTargets],
      busyWorkspaces: [...busyWorkspaces],
      heardOf: knownProcesses.all().map(process => ({...process})),
    };
  };

  const dump = (): string =>
    JSON.stringify({
      instance: settings.instance,
      role: role.role,
      zone: settings.zone,
      region: settings.region,
      incarnation: role.incarnation(),
      leaving: role.isLeaving(),
      configuration: configuration.dump(),
      membership: membership.members().slice(0, MAX_DUMPED_MEMBERS),
      sessions: sessions.peers().length,
      ...role.dump(),
    });

  const start = async (): Promise<void> => {
    server = await startSiteServer({
      listen: settings.siteAddress,
      siteKey: settings.siteKey,
      onRefused: method => {
        siteLog.warn(`refused ${method} without a valid key`);
        options.onRefused('noKey');
      },
      handlers: {
        session: stream => {
          if (role.incarnation() === undefined) stream.end();
          else sessions.accept(stream);
        },
        pullConfiguration: request =>
          configuration.reply(
            request.knownGeneration >= GENERATION_ONLY
              ? GENERATION_ONLY
              : request.knownGeneration,
          ),
        reportActivity: ownActivity,
        dump: () => ({json: dump()}),
        agent: role.agentHandlers,
      },
    });
    poller = startInstanceListPoller(platform.instances, lines => {
      membership.list(lines, clock());
      const instances = lines.map(line => line.instance);
      knownProcesses.list(instances, clock());
    });
    await poller.refresh();
    await configuration.start();
    timers.push(
      every(CONFIGURATION_TICK_PERIOD, configuration.tick),
      every(TICK_PERIOD, () => {
        membership.tick(clock());
        role.onTick();
      }),
    );
  };

  const stop = async (reason: string): Promise<void> => {
    sessions.close(reason);
    for (const stopTimer of timers) stopTimer();
    poller?.stop();
    // Sessions with peers that don't answer the goodbye would keep the server
    // open for ever. Requests have ended before this point.
    const drained = server?.drain() ?? Promise.resolve();
    await Promise.race([drained, new Promise(r => setTimeout(r, 1_000))]);
    server?.close();
    clients.close();
  };

  return {
    membership,
    sessions,
    configuration,
    clients,
    log,
    listed: () => poller?.latest() ?? [],
    refreshList: () => poller?.refresh() ?? Promise.resolve([]),
    requestGenerations,
    knownProcesses,
    ownActivity,
    requestActivity: calls.requestActivity,
    start,
    stop,
  };
}

/** Max members in a dump, to bound its size. */
const MAX_DUMPED_MEMBERS = 1_000;
