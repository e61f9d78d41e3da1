import {
  createAttemptRegistry,
  DEFAULT_REGISTRY_BOUNDS,
  hash32,
  type AcceptedConfiguration,
  type AttemptRegistry,
  type TargetName,
} from '@hibiscusbeam/core';
import {createHttpPlatform} from '@hibiscusbeam/platform';
import type {TargetReport} from '@hibiscusbeam/wire';
import {createLog} from '../logs';
import {measurePlatform} from '../platform_access/measured_platform';
import {createProcessMetrics, sendGauges} from '../process/process_metrics';
import {startProcess} from '../process/running_process';
import {every, monotonicClock, sleep} from '../runtime/clock';
import {createSiteNode, type SiteNode} from '../site/site_node';
import {
  handleFetchChunk,
  createSwarmDriver,
  fetchChunkOverGrpc,
  type SwarmDriver,
} from '../swarm';
import {createEngineClient} from '../targets/engine_client';
import {createPlainServiceClient} from '../targets/plain_service_client';
import type {RunningProcess} from '../types/process';
import type {AgentSettings} from '../types/settings';
import {describeAgent} from '../site/agent_descriptions';
import {createActivityCounter} from '../utils/activity_counter';
import {
  prepareCall,
  prepareGenerate,
  refuseClosedWorkspace,
} from './agent_work';
import {createByteCounter} from './byte_counter';
import {createCachedPrefixes} from './cached_prefixes';
import {createEngineChunkStore} from './chunk_store';
import {startEngineControl, type EngineControl} from './engine_control';
import {raiseAgentIncarnation, type AgentIncarnation} from './incarnation';
import {createServeHandler} from './serve_handler';
import {createSwarmCandidates} from './swarm_candidates';
import {createEngineRuns, createPlainServiceRuns} from './target_runs';
import {createWeightsManager, type WeightsManager} from './weights_manager';

/** Max time that a planned stop waits for requests in progress. */
const MAX_DRAIN_MS = 120_000;

/** Pause between checks for running requests while stopping. */
const DRAIN_POLL_MS = 50;

/** Lets entries learn that the agent is leaving before its goodbye. */
const GOODBYE_DELAY_MS = 200;

/** Period at which the engine's cache events are read. */
const CACHE_EVENTS_PERIOD_MS = 1_000;

/** Requests that a plain service runs concurrently. */
const PLAIN_SERVICE_SLOTS = 16;

/** Starts the agent of one target. */
export function startAgent(settings: AgentSettings): Promise<RunningProcess> {
  return startProcess(createAgent(settings));
}

function createAgent(settings: AgentSettings) {
  const clock = monotonicClock;
  const {target, instance} = settings;
  const {url, timeout} = settings.platform;
  const processLog = createLog({
    settings: settings.log,
    part: 'process',
    secrets: [settings.siteKey],
  });
  const metrics = createProcessMetrics(settings, 'agent', processLog);
  const platform = measurePlatform(
    createHttpPlatform({url, timeout}),
    metrics,
    clock,
  );
  const stopping = new AbortController();
  const isEngine = target.kind === 'modelEngine';
  const engine = createEngineClient(target.url, instance);
  const service = createPlainServiceClient(target.url);
  const engineRuns = createEngineRuns(engine);
  const serviceRuns = createPlainServiceRuns(service);
  const cachedPrefixes = createCachedPrefixes(engine);
  let agentIncarnation: AgentIncarnation | undefined;
  let registry: AttemptRegistry | undefined;
  let control: EngineControl | undefined;
  const workspaces = createActivityCounter();
  const candidates = createSwarmCandidates();
  let running = 0;
  let leaving = false;
  let refusing = false;

  const handler = createServeHandler({
    clock,
    registry: () => registry,
    incarnation: () => agentIncarnation?.incarnation,
    prepare: request => {
      const closed = refuseClosedWorkspace(
        request,
        node.configuration.current(),
      );
      if (closed !== undefined) return closed;
      return isEngine
        ? prepareGenerate(request, control, isTargetOwned(), engineRuns)
        : prepareCall(
            request,
            target.service ?? '',
            isTargetOwned(),
            serviceRuns,
          );
    },
    onStart: ({workspace}) => {
      running += 1;
      const endWorkspaceUse = workspaces.begin(workspace);
      return () => {
        running -= 1;
        endWorkspaceUse();
      };
    },
  });

  const node: SiteNode = createSiteNode({
    settings,
    clock,
    platform,
    onRefused: reason => metrics.count('site.refused', {reason}),
    role: {
      role: 'agent',
      incarnation: () => agentIncarnation?.incarnation,
      target: {
        name: target.name,
        service: target.service ?? '',
        checksFencing: target.fencing === 'checked',
      },
      isLeaving: () => leaving,
      activity: () => ({
        busyTargets:
          running > 0 || control?.isOrdering() === true ? [target.name] : [],
        busyWorkspaces: workspaces.names(),
      }),
      targetReport: () => reportTarget(),
      agentHandlers: {
        ...handler,
        fetchChunk: call => void handleFetchChunk(call, swarm),
      },
      dump: () => ({
        target: target.name,
        requests: {running, ...registry?.sizes()},
        engine: control?.dump(),
        swarm: swarm.dump(),
      }),
      onAdopted: accepted => followConfiguration(accepted),
      onHaveDelta: ({instance: peer}, {versionDigest, gained}) =>
        swarm.onHaveDelta(peer, {versionDigest, gained}),
      onPeerOpened: peer => {
        if (peer.role === 'agent') swarm.onPeerConnected(peer.instance);
      },
      onPeerClosed: peer => {
        if (peer.role === 'agent') swarm.onPeerGone(peer.instance);
      },
      onTick: () => updateSwarmPeers(),
    },
  });

  const log = node.log('target');
  const swarm: SwarmDriver = createSwarmDriver({
    instance,
    zone: settings.zone,
    seed: hash32(instance),
    weights: platform.weights,
    store: createEngineChunkStore(engine),
    transferBuffer: settings.transferBuffer,
    fetchChunk: (address, digest, signal) =>
      fetchChunkOverGrpc(
        node.clients.at(address).agent,
        instance,
        digest,
        signal,
        node.clients.metadata,
      ),
    sendHaveDelta: (peer, {versionDigest, gained}) =>
      void node.sessions.send(peer, {
        message: {
          $case: 'haveDelta',
          haveDelta: {versionDigest, gained: [...gained]},
        },
      }),
    onReady: versionDigest =>
      node.log('transfers').info(`holds all of ${versionDigest}`),
    onCutOff: peer => {
      node
        .log('transfers')
        .warn(`no longer fetches from ${peer} because of checksum errors`);
      metrics.count('transfers.cut_off', {});
    },
  });
  const weights: WeightsManager = createWeightsManager({
    target: target.name,
    weights: platform.weights,
    swarm,
    log: node.log('transfers'),
  });

  const accepted = (): AcceptedConfiguration => {
    const current = node.configuration.current();
    if (current === undefined) throw new Error('no configuration yet');
    return current;
  };

  const isTargetOwned = (): boolean => {
    const described =
      node.configuration.current()?.configuration.targets[target.name];
    return described?.owner === 'hibiscusbeam' && described.state === 'joined';
  };

  const followConfiguration = (next: AcceptedConfiguration): void => {
    if (isEngine) weights.follow(next.configuration);
    updateLeaving();
  };

  /** Takes leaving from the stop signal, the list and the configuration. */
  const updateLeaving = (): void => {
    const listed = node.listed().find(line => line.instance === instance);
    const configured =
      node.configuration.current()?.configuration.targets[target.name];
    // A target closed by the configuration is not reported as leaving: peers
    // take a leaving instance for one that ends and ignore it for the rest of
    // its incarnation, so a target that moves away and back would get no more
    // requests. Peers read that it is closed from the configuration.
    leaving = stopping.signal.aborted || listed?.state === 'leaving';
    const next = leaving || configured?.state === 'leaving';
    if (next === refusing) return;
    refusing = next;
    registry?.setLeaving(refusing);
    log.info(refusing ? 'leaves and starts nothing new' : 'serves again');
    // Sent without waiting for the next heartbeat period, during which entries
    // would send requests that can only be refused.
    node.sessions.sendHeartbeats();
  };

  const updateSwarmPeers = (): void => {
    updateLeaving();
    if (!isEngine) return;
    const agents = node.membership
      .members()
      .filter(
        ({role, instance: name}) => role === 'agent' && name !== instance,
      );
    const chosen = new Set(swarm.neighbours());
    const peers = candidates.choose(agents, chosen, clock());
    swarm.setPeers(peers);
    const neighbours = new Set(swarm.neighbours());
    const addresses = peers
      .filter(peer => neighbours.has(peer.instance))
      .map(peer => peer.address);
    node.sessions.setAddresses(new Set(addresses));
  };

  const unavailableTargets = (): ReadonlySet<TargetName> =>
    new Set(
      node.membership
        .members()
        .filter(
          member => member.liveness === 'dead' || member.liveness === 'leaving',
        )
        .map(member => member.instance),
    );

  const reportTarget = (): TargetReport => {
    const view = control?.view();
    const now = clock();
    return {
      incarnation: agentIncarnation?.incarnation ?? 0,
      loaded: (control?.routable() ?? []).map(version => ({...version})),
      running: view?.running ?? running,
      queued: view?.queued ?? 0,
      slots:
        view?.slots ?? (isEngine || !isTargetOwned() ? 0 : PLAIN_SERVICE_SLOTS),
      ageMilliseconds:
        view === undefined ? 0 : Math.max(0, Math.round(now - view.takenAt)),
      cachedPrefixes: isEngine ? [...cachedPrefixes.newest()] : [],
      progress: swarm.progress().map(version => ({
        versionDigest: version.versionDigest,
        chunksHeld: version.chunksHeld,
        chunksTotal: version.chunksTotal,
        originBytes: version.originBytes,
      })),
    };
  };

  const countBytes = createByteCounter(metrics);

  const sendTargetMetrics = (): void => {
    const {running: atTarget, queued} = reportTarget();
    metrics.gauge('target.running', {}, atTarget);
    metrics.gauge('target.queued', {}, queued);
    countBytes(swarm.progress());
  };

  const start = async (): Promise<void> => {
    const started = node.start();
    agentIncarnation = await raiseAgentIncarnation(
      instance,
      describeAgent(settings),
      platform.table,
      clock,
      processLog,
      stopping.signal,
    );
    await started;
    stopGauges = sendGauges(metrics, {
      generation: () => node.configuration.current()?.generation ?? 0,
      members: node.membership.members,
      sendRoleGauges: sendTargetMetrics,
    });
    if (agentIncarnation === undefined) return;
    const {incarnation} = agentIncarnation;
    log.info(`begins life ${incarnation} at ${target.name}`);
    registry = createAttemptRegistry({incarnation, ...DEFAULT_REGISTRY_BOUNDS});
    registry.setLeaving(refusing);
    if (!isEngine) return;
    control = startEngineControl({
      instance,
      target,
      agentIncarnation,
      engine,
      table: platform.table,
      clock,
      weights,
      swarm,
      accepted,
      unavailableTargets,
      log,
      metrics,
      onRoutableChanged: () => node.sessions.sendHeartbeats(),
    });
    stopCacheEvents = every(
      CACHE_EVENTS_PERIOD_MS,
      () => void cachedPrefixes.refresh(),
    );
    void swarm.start();
  };
  let stopCacheEvents = (): void => undefined;
  let stopGauges = (): void => undefined;

  const stop = async (): Promise<void> => {
    stopping.abort();
    updateLeaving();
    await sleep(GOODBYE_DELAY_MS);
    const deadline = clock() + MAX_DRAIN_MS;
    while (running > 0 && clock() < deadline) await sleep(DRAIN_POLL_MS);
    stopCacheEvents();
    stopGauges();
    swarm.stop();
    await control?.stop();
    await node.stop('planned stop');
    await metrics.close();
    await Promise.all([engine.close(), service.close()]);
  };

  return {start, stop};
}
