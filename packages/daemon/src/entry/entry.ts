import {
  createWorkspaceLimits,
  HEARTBEAT_PERIOD,
  rendezvousOrder,
  SUSPECT_AFTER,
  type AcceptedConfiguration,
} from '@hibiscusbeam/core';
import {createHttpPlatform} from '@hibiscusbeam/platform';
import type {WorkspaceUse} from '@hibiscusbeam/wire';
import {createLog} from '../logs';
import {measurePlatform} from '../platform_access/measured_platform';
import {createProcessMetrics, sendGauges} from '../process/process_metrics';
import {startProcess} from '../process/running_process';
import {every, monotonicClock, sleep} from '../runtime/clock';
import {readKnownTargets} from '../site/agent_descriptions';
import {createSiteNode, type SiteNode} from '../site/site_node';
import type {RunningProcess} from '../types/process';
import {
  createOlderSystemClient,
  startOwnershipAnnouncer,
} from '../older_system';
import type {EntrySettings} from '../types/settings';
import {formatAddress} from '../utils/address';
import {createActivityCounter} from '../utils/activity_counter';
import {createCallerService} from './caller_service';
import {measureCallers} from './measured_callers';
import {createDispatcher} from './dispatcher';
import {createGroupCommitDriver} from './group_commit_driver';
import {createHttpServer, type EntryAddress} from './http_server';
import {createMoveDriver} from './move_driver';
import {createPlanService} from './plan_service';
import {createProcessSurvey} from './process_survey';
import {createRequestRunner} from './request_runner';
import {createSiteView} from './site_view';
import {createSessionChooser} from './wanted_sessions';
import {createTargetFeed} from './target_feed';
import {createTargetDirectory} from './target_directory';

/** Maximum number of entry addresses returned to a caller. */
const MAX_ADDRESSES = 8;

/** How long a planned stop waits for requests in progress, in milliseconds. */
const MAX_DRAIN_TIME = 120_000;

/**
 * How long other entries may still list a stopping entry, in milliseconds. An
 * entry that has not received its announcement by then has lost the session
 * and stops listing it.
 */
const MAX_STALE_LISTING_TIME = SUSPECT_AFTER;

/** Interval between checks for running requests while stopping, in ms. */
const DRAIN_CHECK_PERIOD = 50;

/**
 * Bytes per second of our share of the origin's link and of an instance's link,
 * for estimates.
 */
const ESTIMATED_RATES = {originRate: 125_000_000, instanceRate: 1_250_000_000};

/** Starts an entry. */
export function startEntry(settings: EntrySettings): Promise<RunningProcess> {
  return startProcess(createEntry(settings));
}

function createEntry(settings: EntrySettings) {
  const clock = monotonicClock;
  const {instance, zone, region} = settings;
  const {url, timeout} = settings.platform;
  const processLog = createLog({
    settings: settings.log,
    part: 'process',
    secrets: [settings.siteKey],
  });
  const metrics = createProcessMetrics(settings, 'entry', processLog);
  const platform = measurePlatform(
    createHttpPlatform({url, timeout}),
    metrics,
    clock,
  );
  const directory = createTargetDirectory();
  const callerAddress = formatAddress(settings.callerAddress);
  // Grows with each start of the same instance, also while the platform is
  // down. It is only used to order the hellos of one entry's incarnations.
  const incarnation = Date.now();
  let leaving = false;
  let uses: readonly WorkspaceUse[] = [];
  let stopPublishing = (): void => undefined;
  let stopGauges = (): void => undefined;
  const chooseSessions = createSessionChooser();
  const workspacesInProgress = createActivityCounter();
  const olderSystem =
    settings.olderSystem === undefined
      ? undefined
      : createOlderSystemClient(settings.olderSystem.url);

  const node: SiteNode = createSiteNode({
    settings,
    clock,
    platform,
    onRefused: reason => metrics.count('site.refused', {reason}),
    role: {
      role: 'entry',
      incarnation: () => incarnation,
      callerAddress,
      isLeaving: () => leaving,
      // Agents report what is in progress at their targets.
      activity: () => ({
        busyTargets: [],
        busyWorkspaces: workspacesInProgress.names(),
      }),
      onHead: head => moves.receiveHead(head),
      workspaceUses: () => uses,
      onWorkspaceUses: (peer, published) =>
        limits.receive(
          {
            entry: peer.instance,
            use: new Map(
              published.map(use => [use.workspace, use.requestsPerSecond]),
            ),
          },
          clock(),
        ),
      dump: () => ({
        callerAddress,
        requests: {running: runner.running(), waiting: dispatcher.waiting()},
        claims: {inFlight: groupCommit.pending()},
        routing: dispatcher.dump(),
        moves: moves.dump(),
      }),
      onAdopted: accepted => applyWorkspaceLimits(accepted),
      onPeerOpened: peer => feed.addPeer(peer),
      onPeerClosed: peer => feed.removePeer(peer),
      onTargetReport: (peer, report) => feed.receiveReport(peer, report),
      onTick: () => refreshSessions(),
    },
  });

  const view = createSiteView();
  const limits = createWorkspaceLimits({
    entry: instance,
    heartbeat: HEARTBEAT_PERIOD,
  });
  const groupCommit = createGroupCommitDriver(platform.table, clock, size =>
    metrics.gauge('claims.batch_size', {}, size),
  );
  const runner = createRequestRunner({
    clock,
    platform,
    groupCommit,
    clients: node.clients,
    directory,
    dispatcher: () => dispatcher,
  });
  const dispatcher = createDispatcher({
    clock,
    zone,
    directory,
    queueCapacity: settings.limits.waiting,
    siteUse: limits.siteUse,
    onWithdraw: runner.withdraw,
    onRetry: () => metrics.count('requests.retried', {}),
  });
  const feed = createTargetFeed({
    clock,
    directory,
    view,
    limits,
    dispatcher,
    membership: node.membership,
    configuration: node.configuration.current,
  });
  const callers = measureCallers(
    createCallerService({
      instance,
      clock,
      configuration: node.configuration.current,
      runner,
      dispatcher,
      limits,
      workspacesInProgress,
      maxInProgress: settings.limits.waiting * IN_PROGRESS_PER_WAITING,
    }),
    metrics,
    clock,
  );
  /** Position of this entry among the live ones for a subject; 0 is first. */
  const rankFor = (subject: string): number => {
    const others = node.membership
      .members()
      .filter(member => member.role === 'entry' && member.liveness === 'live')
      .map(member => member.instance);
    return rendezvousOrder(subject, [instance, ...others]).indexOf(instance);
  };
  const survey = createProcessSurvey({instance, node, olderSystem});
  const moves = createMoveDriver({
    table: platform.table,
    clock,
    survey,
    rank: rankFor,
    onOpened: node.configuration.receiveHead,
    log: node.log('configuration'),
  });
  const plans = createPlanService({
    platform,
    clock,
    current: node.configuration.current,
    knownTargets: async () =>
      readKnownTargets(platform.table, await node.refreshList()),
    rates: ESTIMATED_RATES,
    requestGenerations: node.requestGenerations,
    survey,
    onCommitted: accepted => node.configuration.offerCommitted(accepted),
    onMoveConfirmed: moves.begin,
  });
  const httpServer = createHttpServer({
    settings,
    callers,
    plans,
    entries: () => entryAddresses(),
    status: () => {
      const accepted = node.configuration.current();
      if (accepted === undefined) return {generation: 0, versions: []};
      const versions = view.versions(accepted, clock());
      return {generation: accepted.generation, versions};
    },
    log: node.log('callers'),
    onRefused: reason => metrics.count('callers.refused', {reason}),
  });

  const applyWorkspaceLimits = ({
    configuration,
  }: AcceptedConfiguration): void => {
    for (const [name, described] of Object.entries(configuration.workspaces)) {
      limits.setLimit(name, described.requestsPerSecond);
    }
  };

  const refreshSessions = (): void => {
    feed.removeGoneTargets();
    node.sessions.setAddresses(new Set(wantedSessions()));
  };

  const wantedSessions = (): readonly string[] =>
    chooseSessions({
      instance,
      members: node.membership.members(),
      listed: new Set(
        node
          .listed()
          .filter(line => line.state === 'live')
          .map(line => line.instance),
      ),
    }).map(member => member.address);

  const entryAddresses = (): readonly EntryAddress[] => {
    const others = node.sessions
      .peers()
      .filter(peer => peer.role === 'entry')
      .filter(peer => node.membership.livenessOf(peer.instance) === 'live')
      .map(peer => ({
        address: peer.callerAddress,
        zone: peer.zone,
        region: peer.region,
      }));
    const own = leaving ? [] : [{address: callerAddress, zone, region}];
    const byAddress = new Map(
      [...own, ...others].map(entry => [entry.address, entry]),
    );
    return [...byAddress.values()].slice(0, MAX_ADDRESSES);
  };

  let stopOwnershipReports = (): void => undefined;
  const start = async (): Promise<void> => {
    await node.start();
    await httpServer.listen(settings.callerAddress);
    stopPublishing = every(HEARTBEAT_PERIOD, () => {
      uses = [...limits.publish(clock()).use].map(
        ([workspace, requestsPerSecond]) => ({workspace, requestsPerSecond}),
      );
    });
    stopGauges = sendGauges(metrics, {
      generation: () => node.configuration.current()?.generation ?? 0,
      members: node.membership.members,
      sendRoleGauges: () => {
        metrics.gauge('requests.waiting', {}, dispatcher.waiting());
        metrics.gauge('claims.in_flight', {}, groupCommit.pending());
      },
    });
    if (olderSystem !== undefined) {
      stopOwnershipReports = startOwnershipAnnouncer({
        olderSystem,
        current: node.configuration.current,
        rank: () => rankFor('older-system'),
        log: node.log('configuration'),
      }).stop;
    }
    refreshSessions();
    processLog.info(`listening for callers at ${callerAddress}`);
  };

  const stop = async (): Promise<void> => {
    leaving = true;
    processLog.info('stopping: leaving the list of entries for callers');
    node.sessions.sendHeartbeats();
    // Callers may use this address until their list expires, and another entry
    // that learns of the stop late may list it for a while longer. Until then,
    // this entry serves requests, as its callers' connections would be refused
    // otherwise.
    await sleep(settings.addressesKeptFor + MAX_STALE_LISTING_TIME);
    const deadline = clock() + MAX_DRAIN_TIME;
    while (runner.running() > 0 && clock() < deadline) {
      await sleep(DRAIN_CHECK_PERIOD);
    }
    await httpServer.close();
    stopPublishing();
    stopGauges();
    stopOwnershipReports();
    moves.stop();
    dispatcher.close();
    await node.stop('planned stop');
    await olderSystem?.close();
    await metrics.close();
  };

  return {start, stop};
}

/** Requests allowed in progress for each one that may wait for a target. */
const IN_PROGRESS_PER_WAITING = 8;
