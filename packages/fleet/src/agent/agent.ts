import {
  AGENT_TRANSFER_POLICY,
  createNamedVersions,
  hash32,
  type NamedVersions,
} from '@hibiscusbeam/core';
import {
  handleFetchChunk,
  createSwarmDriver,
  fetchChunkOverGrpc,
  monotonicClock,
  type Log,
  type LogPart,
  type RunningProcess,
  type SwarmDriver,
} from '@hibiscusbeam/daemon';
import {randomUUID} from 'node:crypto';
import {createFailurePause} from '../link/failure_pause';
import {createMemberFollower} from '../link/member_follower';
import {createNamingExchange} from '../link/naming_exchange';
import {openPeerServer} from '../link/peer_server';
import type {
  EngineControl,
  MemberDescription,
  MemberTable,
  OperatorFeed,
  VersionOrigin,
} from '../ports';
import {startMachineClock} from '../runtime/clock';
import {NO_STARTUP_LOG, type StartupLog} from '../runtime/startup_log';
import {connectionLimits, type FleetAgentSettings} from '../settings';
import {createEngineManager, type EngineManager} from './engine_manager';
import {createEngineReports} from './engine_reports';
import {createOperatorMonitor} from './operator_monitor';
import {createOriginReader} from './origin_reader';
import {createPeerAgents} from './peer_agents';
import {createStagedChunks} from './staged_chunks';

/** Ports of the host platform that an agent uses. */
export interface AgentPorts {
  readonly operator: OperatorFeed;
  readonly members: MemberTable;
  readonly engine: EngineControl;
  readonly origin: VersionOrigin;
}

/**
 * How long a starting agent waits for the entries, as a multiple of the bound
 * of configurations: twice as long as an entry waits for its relay.
 */
const MAX_ENTRY_WAIT_FACTOR = 2;

/** Starts the agent of an engine; resolves once it serves its peers. */
export async function startFleetAgent(
  settings: FleetAgentSettings,
  ports: AgentPorts,
  logs: (part: LogPart) => Log,
  startup: Pick<StartupLog, 'recordKnown'> = NO_STARTUP_LOG,
): Promise<RunningProcess> {
  const stopped = new AbortController();
  const spread = hash32(settings.instance) / 2 ** 32;
  const self: MemberDescription = {
    instance: settings.instance,
    role: 'agent',
    zone: settings.zone,
    address: settings.peerAddress,
    life: `${settings.instance}-${randomUUID()}`,
  };
  const named = createNamedVersions(settings.bounds.version);
  const versions: NamedVersions = {
    ...named,
    name: (...naming) => {
      const isNew = named.name(...naming);
      if (isNew) engineManager.checkNow();
      return isNew;
    },
  };
  const configurationLog = logs('configuration');
  const namings = createNamingExchange(
    versions,
    monotonicClock,
    configurationLog,
  );
  const operator = createOperatorMonitor({
    feed: ports.operator,
    versions,
    clock: monotonicClock,
    log: configurationLog,
    hasEntries: () =>
      members.isKnown()
        ? members.others().some(({role}) => role === 'entry')
        : undefined,
    maxEntryWait:
      settings.bounds.configuration * MAX_ENTRY_WAIT_FACTOR * (1 + spread),
    onServices: source => startup.recordKnown('services', source),
  });
  const machineClock = startMachineClock();
  const staged = createStagedChunks(ports.engine, logs('target'), machineClock);
  const peers = createPeerAgents({
    self,
    swarm: () => swarm,
    clock: monotonicClock,
    log: logs('membership'),
  });
  const transferLog = logs('transfers');
  const originReader = createOriginReader({
    origin: ports.origin,
    operator,
    wanted: () => engineManager.fetching().map(({content}) => content),
    log: transferLog,
  });
  const swarm: SwarmDriver = createSwarmDriver({
    instance: settings.instance,
    zone: settings.zone,
    seed: hash32(settings.instance),
    weights: originReader,
    store: staged.store,
    ...AGENT_TRANSFER_POLICY,
    linkBytesPerSecond: bytesPerSecond(settings.linkMegabits),
    linkShare: () =>
      engineManager.needsWholeLink()
        ? 1
        : AGENT_TRANSFER_POLICY.shareBesideLive,
    fetchChunk: (address, digest, signal) =>
      fetchChunkOverGrpc(
        peers.channels.at(address),
        settings.instance,
        digest,
        signal,
      ),
    sendHaveDelta: (instance, {versionDigest, gained}) =>
      peers.announce(instance, versionDigest, gained),
    onReady: versionDigest =>
      transferLog.info('holds all', {
        versionDigest,
        progress: swarm
          .progress()
          .find(entry => entry.versionDigest === versionDigest),
      }),
    onCutOff: peer => transferLog.warn('no longer fetches from', {peer}),
  });
  const members = createMemberFollower({
    self,
    table: ports.members,
    clock: monotonicClock,
    log: logs('membership'),
    failurePause: createFailurePause(spread),
    onChange: others => {
      startup.recordKnown('members', 'store');
      peers.setMembers(others);
      reports.setMembers(others);
    },
  });
  const reports = createEngineReports({
    engineAddress: settings.engine.address,
    zone: settings.zone,
    namings: namings.list,
    clock: monotonicClock,
    log: logs('membership'),
    onReply: reply => {
      namings.merge(reply.namings);
      operator.receive(reply);
    },
  });
  const engineManager: EngineManager = createEngineManager({
    service: settings.engine.service,
    engine: ports.engine,
    origin: ports.origin,
    operator,
    versions,
    staged,
    swarm,
    self: {instance: settings.instance, zone: settings.zone},
    members: () => [
      {instance: settings.instance, zone: settings.zone},
      ...members.others().filter(({role}) => role === 'agent'),
    ],
    areMembersKnown: members.isKnown,
    versionBound: settings.bounds.version,
    clock: monotonicClock,
    machineClock,
    log: logs('target'),
    onStatus: reports.offer,
  });

  const server = await openPeerServer(
    settings.peerAddress,
    {
      role: 'agent',
      handlers: {
        announce: peers.answer,
        fetchChunk: call => void handleFetchChunk(call, swarm),
      },
    },
    connectionLimits(settings).peers,
  );
  operator.start(stopped.signal);
  members.start(stopped.signal);
  engineManager.start(stopped.signal);
  void swarm.start();
  const stopHeartbeats = peers.start();

  let finish = (): void => undefined;
  const ended = new Promise<void>(resolve => (finish = resolve));
  const stop = async (): Promise<void> => {
    if (stopped.signal.aborted) return ended;
    stopped.abort();
    stopHeartbeats();
    swarm.stop();
    await members.leave();
    server.close();
    finish();
  };
  return {stop, stopped: ended};
}

function bytesPerSecond(megabits: number | undefined): number | undefined {
  if (megabits === undefined) return undefined;
  return (megabits * 1e6) / 8;
}
