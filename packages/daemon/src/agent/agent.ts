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
import {openMetrics, sendGauges} from '../process/process_metrics';
import {startProcess} from '../process/running_process';
import {every, monotonicClock, sleep} from '../runtime/clock';
import {createSiteNode, type SiteNode} from '../site/site_node';
import {
  answerFetchChunk,
  createSwarmDriver,
  fetchChunkOver,
  type SwarmDriver,
} from '../swarm';
import {createEngineClient} from '../targets/engine_client';
import {createPlainServiceClient} from '../targets/plain_service_client';
import type {RunningProcess} from '../types/process';
import type {AgentSettings} from '../types/settings';
import {describeAgent} from '../site/agent_descriptions';
import {createTally} from '../utils/tally';
import {prepareCall, prepareGenerate, refuseClosed} from './agent_work';
import {createByteCounter} from './byte_counter';
import {createCachedPrefixes} from './cached_prefixes';
import {createEngineChunkStore} from './chunk_store';
import {startEngineControl, type EngineControl} from './engine_control';
import {beginLife, type AgentLife} from './incarnation';
import {createServeHandler} from './serve_handler';
import {createSwarmCandidates} from './swarm_candidates';
import {createEngineRuns, createPlainServiceRuns} from './target_runs';
import {createWeightsKeeper, type WeightsKeeper} from './weights_keeper';

/** How long a planned stop waits for requests in progress. */
const LONGEST_DRAIN = 120_000;

/** Pause between looks at what still runs while stopping. */
const DRAIN_PERIOD = 50;

/** Entries learn that an agent leaves before it says goodbye. */
const GOODBYE_DELAY = 200;

/** Period in which the engine's cache events are read. */
const CACHE_EVENTS_PERIOD = 1_000;

/** Requests that a plain service runs side by side. */
const PLAIN_SERVICE_SLOTS = 16;

/** Starts the agent in a target's slot. */
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
  const metrics = openMetrics(settings, 'agent', processLog);
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
  let life: AgentLife | undefined;
  let registry: AttemptRegistry | undefined;
  let control: EngineControl | undefined;
  const workspaces = createTally();
  const candidates = createSwarmCandidates();
  let running = 0;
  let leaving = false;
  let refusing = false;

  const handler = createServeHandler({
    clock,
    registry: () => registry,
    incarnation: () => life?.incarnation,
    prepare: request => {
      const closed = refuseClosed(request, node.configuration.current());
      if (closed !== undefined) return closed;
      return isEngine
        ? prepareGenerate(request, control, isOurs(), engineRuns)
        : prepareCall(request, target.service ?? '', isOurs(), serviceRuns);
    },
    onStart: ({workspace}) => {
      running += 1;
      const endOfWorkspace = workspaces.begin(workspace);
      return () => {
        running -= 1;
        endOfWorkspace();
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
      incarnation: () => life?.incarnation,
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
        fetchChunk: call => void answerFetchChunk(call, swarm),
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
      onTick: () => followSite(),
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
      fetchChunkOver(
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
      node.log('transfers').warn(`takes nothing more from ${peer}`);
      metrics.count('transfers.cut_off', {});
    },
  });
  const weights: WeightsKeeper = createWeightsKeeper({
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

  const isOurs = (): boolean => {
    const described =
      node.configuration.current()?.configuration.targets[target.name];
    return described?.owner === 'hibiscusbeam' && described.state === 'joined';
  };

  const followConfiguration = (next: AcceptedConfiguration): void => {
    if (isEngine) weights.follow(next.configuration);
    judgeLeaving();
  };

  /** Leaving is known from the signal, the list or the configuration. */
  const judgeLeaving = (): void => {
    const listed = node.listed().find(line => line.instance === instance);
    const configured =
      node.configuration.current()?.configuration.targets[target.name];
    // Failure: a target that moves away and back gets no request any more.
    // Others take an instance that says "leaving" for one that ends, and never
    // meet it again in this life; a closed target is theirs to read from the
    // configuration.
    leaving = stopping.signal.aborted || listed?.state === 'leaving';
    const next = leaving || configured?.state === 'leaving';
    if (next === refusing) return;
    refusing = next;
    registry?.setLeaving(refusing);
    log.info(refusing ? 'leaves and starts nothing new' : 'serves again');
    // At once: each further heartbeat period would bring requests that can
    // only be refused.
    node.sessions.beat();
  };

  const followSite = (): void => {
    judgeLeaving();
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
    node.sessions.keep(new Set(addresses));
  };

  const gone = (): ReadonlySet<TargetName> =>
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
      incarnation: life?.incarnation ?? 0,
      loaded: (control?.routable() ?? []).map(version => ({...version})),
      running: view?.running ?? running,
      queued: view?.queued ?? 0,
      slots: view?.slots ?? (isEngine || !isOurs() ? 0 : PLAIN_SERVICE_SLOTS),
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
    life = await beginLife(
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
      sendMore: sendTargetMetrics,
    });
    if (life === undefined) return;
    const {incarnation} = life;
    log.info(`begins life ${incarnation} at ${target.name}`);
    registry = createAttemptRegistry({incarnation, ...DEFAULT_REGISTRY_BOUNDS});
    registry.setLeaving(refusing);
    if (!isEngine) return;
    control = startEngineControl({
      instance,
      target,
      life,
      engine,
      table: platform.table,
      clock,
      weights,
      swarm,
      accepted,
      gone,
      log,
      metrics,
      onRoutableChanged: () => node.sessions.beat(),
    });
    stopCacheEvents = every(
      CACHE_EVENTS_PERIOD,
      () => void cachedPrefixes.refresh(),
    );
    void swarm.start();
  };
  let stopCacheEvents = (): void => undefined;
  let stopGauges = (): void => undefined;

  const stop = async (): Promise<void> => {
    stopping.abort();
    judgeLeaving();
    await sleep(GOODBYE_DELAY);
    const deadline = clock() + LONGEST_DRAIN;
    while (running > 0 && clock() < deadline) await sleep(DRAIN_PERIOD);
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
