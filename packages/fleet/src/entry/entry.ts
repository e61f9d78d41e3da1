import {
  createConfirmation,
  createFairOrder,
  createNamedVersions,
  createSendPacer,
  createRateLimits,
  createStoreClock,
  createStoreAvailability,
  createStoreDistance,
  createTargetRegistry,
  hash32,
  VERSION_BOUND_MARGIN,
  type EngineLoad,
  type Milliseconds,
  type ReadingUse,
} from '@hibiscusbeam/core';
import {
  monotonicClock,
  type Log,
  type LogPart,
  type RunningProcess,
} from '@hibiscusbeam/daemon';
import {randomUUID} from 'node:crypto';
import type {EngineReport} from '@hibiscusbeam/wire';
import {createConfigurationCopies} from '../link/configuration_copies';
import {createFailurePause} from '../link/failure_pause';
import {timedRead} from '../link/first_read';
import {createMemberFollower} from '../link/member_follower';
import {createNamingExchange} from '../link/naming_exchange';
import {openPeerServer} from '../link/peer_server';
import {writeServices} from '../link/services_copy';
import {createSiteRecords} from '../link/site_records';
import type {
  DirectoryProtocol,
  MemberDescription,
  MemberTable,
  OperatorFeed,
  QuarantineTable,
  RequestProtocol,
  TargetList,
} from '../ports';
import {startMachineClock} from '../runtime/clock';
import {createStallMonitor} from '../runtime/stall_monitor';
import {NO_STARTUP_LOG, type StartupLog} from '../runtime/startup_log';
import {
  connectionLimits,
  incomingMemory,
  maxBufferedBytes,
  type FleetEntrySettings,
} from '../settings';
import {createBufferedBytes} from './buffered_bytes';
import {createCallerServer} from './caller_server';
import {createColdTargetMonitor} from './cold_target_monitor';
import {createEntryAdmission, NO_ADMISSION} from './entry_admission';
import {createEntryPeers} from './entry_peers';
import {createEntryQuarantine} from './entry_quarantine';
import {createEngineReportStreams} from './engine_report_stream';
import {createEvacuationMonitor} from './evacuation_monitor';
import {createFleetMetrics} from './fleet_metrics';
import {createIncomingRequests} from './incoming_requests';
import {createHeldReadings, DEFAULT_EVACUATION_BOUND} from './held_readings';
import {createRateLimitMonitor} from './rate_limit_monitor';
import {createOperatorFollower} from './operator_follower';
import {createSlotQueue} from './slot_queue';
import {createRetryBudgets} from './retry_budgets';
import {createPlannedStop} from './planned_stop';
import {createRequestHandler} from './request_handler';
import {createSiteRegions} from './site_regions';
import {
  openDirectoryServer,
  openMetricsServer,
  openReadinessServer,
} from './auxiliary_servers';
import {createStreamHandover} from './stream_handover';
import {startTargetFollower} from './target_follower';
import {createHeaderRecorder} from './header_recorder';
import {createUnbegunAttempts} from './unbegun_attempts';
import {createUnreadRequests} from './unread_requests';

/** What an entry uses of the host platform. */
export interface EntryPorts {
  readonly operator: OperatorFeed;
  readonly targets: TargetList;
  readonly members: MemberTable;
  readonly quarantine: QuarantineTable;
  readonly requests: RequestProtocol;
  readonly directory: DirectoryProtocol;
}

/** Margin of the revocation bound, for clocks that run apart. */
const REVOCATION_MARGIN: Milliseconds = 300;

/**
 * Age of the confirmed configuration from which callers are sent to other
 * entries, as a share of the age from which keys are no longer accepted.
 * Callers use a directory answer for one or two seconds, and the age grows to
 * two seconds between two answers of a healthy store.
 */
const UNREADY_AGE_SHARE = 0.75;

/** Maximum lifetime of a directory answer, so that changes spread soon. */
const MAX_DIRECTORY_TTL: Milliseconds = 2_000;

/**
 * Share of the wait of a starting entry for its relay after which it may be the
 * relay itself, though others come before it.
 */
const TAKEOVER_DELAY_SHARE = 0.5;

function toEngineLoad(report: EngineReport): EngineLoad {
  return {
    address: report.engineAddress,
    held: report.loaded,
    ordering: report.ordering,
    running: report.running,
    waiting: report.waiting,
    pace: report.pace,
    sequence: report.sequence,
    born: report.born,
    loadsIn: report.loadsInMilliseconds,
    memoryShare: report.memoryShare,
  };
}

/** The lower of two limits, either of which may be undefined. */
function minDefined(
  one: number | undefined,
  other: number | undefined,
): number | undefined {
  if (one === undefined || other === undefined) return one ?? other;
  return Math.min(one, other);
}

/** Starts an entry; resolves once it listens. */
export async function startFleetEntry(
  settings: FleetEntrySettings,
  ports: EntryPorts,
  logs: (part: LogPart) => Log,
  startup: Pick<StartupLog, 'recordKnown'> = NO_STARTUP_LOG,
): Promise<RunningProcess> {
  const clock = monotonicClock;
  const metrics = createFleetMetrics();
  const machineClock = startMachineClock(delay => {
    metrics.observeLoopDelay(delay);
    stalls.record();
  });
  const stalls = createStallMonitor(machineClock);
  const {bounds} = settings;
  const evacuation = bounds.evacuation ?? DEFAULT_EVACUATION_BOUND;
  const stopped = new AbortController();
  const keepFor = Math.min(bounds.directoryAnswer, MAX_DIRECTORY_TTL);
  const plannedStop = createPlannedStop({
    grace: bounds.grace,
    clock: machineClock,
  });
  const storeClock = createStoreClock();
  const storeDistance = createStoreDistance();
  const failurePause = createFailurePause(hash32(settings.instance) / 2 ** 32);
  const storeAvailability = createStoreAvailability(failurePause.recordAnswer);
  const confirmation = createConfirmation(storeClock);
  const copies = createConfigurationCopies();
  const spread = hash32(settings.instance) / 2 ** 32;
  const maxRelayWait = bounds.configuration * (1 + spread);
  const readings = createHeldReadings({
    confirmation,
    listedAt: () => targets.listedAt(),
    evacuationsReadAt: () => operator.evacuationsReadAt(),
    storeAvailability,
    machineClock,
    bounds: {...bounds, evacuation},
  });
  const isReadable = (use: ReadingUse): boolean => use !== 'outdated';
  const incarnation = `${settings.instance}-${randomUUID()}`;
  const {quarantine, quarantineStore, trials, crashMonitor, onQuarantined} =
    createEntryQuarantine({
      table: ports.quarantine,
      holder: incarnation,
      clock,
      log: logs('requests'),
      metrics,
      failurePause,
      spread,
      onChange: () => entryPeers.scheduleRecords(),
      onKnown: () => startup.recordKnown('quarantine', 'store'),
    });
  const limits = createRateLimits(clock);
  const limitMonitor = createRateLimitMonitor({
    limits,
    log: logs('routing'),
    onChange: () => entryPeers.scheduleRecords(),
  });
  const coldTargets = createColdTargetMonitor({
    clock,
    log: logs('routing'),
    metrics,
    table: () => operator.table(),
  });
  const sendPacer = createSendPacer({
    self: {instance: settings.instance, zone: settings.zone},
    rateOf: target =>
      minDefined(limits.rateOf(target), coldTargets.rateOf(target)),
    knownShare: () =>
      members.isKnown()
        ? (entryPeers.usable().length + 1) / entryPeers.size()
        : 0,
  });
  const regions = createSiteRegions(settings);
  const evacuations = createEvacuationMonitor({
    log: logs('configuration'),
    metrics,
    isKnownZone: regions.isKnownZone,
  });
  // An entry that was frozen or is disconnected may miss an evacuation or a
  // change of residency, also for requests that it has already accepted.
  const areTargetsKnown = (): boolean =>
    isReadable(readings.targets()) &&
    isReadable(readings.evacuations()) &&
    isResidencyKnown();
  const isResidencyKnown = (): boolean =>
    operator.table()?.restrictsRegions !== true ||
    isReadable(readings.configuration());
  const registry = createTargetRegistry(
    {instance: settings.instance, zone: settings.zone},
    areTargetsKnown,
    sendPacer.maySend,
    {
      placement: settings.placement,
      isEvacuated: evacuations.isEvacuated,
      regionOf: regions.regionOf,
      isCold: coldTargets.isCold,
    },
  );
  const slotQueue = createSlotQueue(
    registry,
    clock,
    sendPacer.recordSend,
    settings.admission === 'level' ? createFairOrder() : undefined,
  );
  const admission =
    settings.admission === 'none'
      ? NO_ADMISSION
      : createEntryAdmission({
          instance: settings.instance,
          zone: settings.zone,
          registry,
          metrics,
          log: logs('routing'),
          clock,
          entries: () => entryPeers.size(),
          followsRelay: () => !entryPeers.readsTargets(),
          waitingFor: slotQueue.waitingFor,
        });
  const handover = createStreamHandover({
    registry,
    clock,
    movesLateStreams: settings.placement === 'forecast',
  });
  const self: MemberDescription = {
    instance: settings.instance,
    role: 'entry',
    zone: settings.zone,
    address: settings.peerAddress,
    callerAddress: settings.callerAddress,
    life: incarnation,
  };
  const unbegun = createUnbegunAttempts({
    versions: () => versions,
    machineClock,
  });
  const versions = createNamedVersions(
    bounds.version - VERSION_BOUND_MARGIN,
    unbegun.update,
  );
  const namings = createNamingExchange(
    versions,
    machineClock,
    logs('configuration'),
    storeClock,
  );
  const operator = createOperatorFollower({
    feed: ports.operator,
    clock: machineClock,
    confirmation,
    storeClock,
    storeAvailability,
    versions,
    evacuations,
    log: logs('configuration'),
    // Agents and followers use a new version from whichever entry they learn of
    // it first, so all are sent it at once.
    onVersionsOrServices: () => {
      reportStreams.sendToAll();
      entryPeers.relayServer.sendStates();
    },
    // Both are read from the operator's table.
    bound: Math.min(bounds.configuration, evacuation),
    copies,
    source: () => entryPeers.operatorSource(),
    maxRelayWait,
    onConfiguration: source => {
      startup.recordKnown('configuration', source);
      entryPeers.greetRelays();
    },
    onReading: moment => entryPeers.relayServer.setOperator(moment),
    spread,
    onChange: () => {
      const limits = operator.table()?.configuration.limits;
      if (limits !== undefined) callerServer.setLimits(limits);
      slotQueue.pump();
    },
  });
  const maxConfirmationAge = bounds.revocation - REVOCATION_MARGIN;
  // An entry counts as unready before it refuses keys, and directories leave it
  // out. Otherwise, when it is disconnected from the store, it refuses every
  // request with a key while its callers keep coming back, though the other
  // entries would serve them.
  const isReady = (): boolean =>
    plannedStop.phase() === 'serving' &&
    operator.table() !== undefined &&
    quarantineStore.isKnown() &&
    isReadable(readings.configuration()) &&
    isReadable(readings.targets()) &&
    confirmation.isFresh(
      machineClock(),
      maxConfirmationAge * UNREADY_AGE_SHARE,
    );
  const entryPeers = createEntryPeers({
    self,
    isReady,
    clock,
    log: logs('membership'),
    copies,
    records: createSiteRecords(quarantine, limits),
    demands: admission.exchange,
    storeDistance: storeDistance.min,
    namings: namings.list,
    onNamings: namings.merge,
    onReports: takeReports,
    onTables: update => {
      const {operator: moment, configuration, targets: listing} = update;
      if (moment !== undefined || listing !== undefined) {
        failurePause.recordAnswer();
      }
      if (moment !== undefined) operator.receive(moment, configuration);
      if (listing !== undefined) targets.receive(listing);
    },
    maxRelaySearch: maxRelayWait,
    takeoverDelay: maxRelayWait * TAKEOVER_DELAY_SHARE,
    onRelaySearched: () => {
      operator.wake();
      targets.check();
    },
    onUsable: () => {
      const senders = [self, ...entryPeers.usable()];
      registry.setEntries(senders);
      sendPacer.setSenders(senders);
    },
  });
  const members = createMemberFollower({
    self,
    table: {
      ...ports.members,
      readAll: timedRead(ports.members.readAll, storeClock, machineClock),
    },
    clock,
    log: logs('membership'),
    failurePause,
    onChange: others => {
      startup.recordKnown('members', 'store');
      entryPeers.setMembers(others);
    },
  });
  const memory = incomingMemory(settings);
  const maxConnections = connectionLimits(settings);
  const incoming = createIncomingRequests({bound: memory.requests, clock});
  const unread = createUnreadRequests(clock);
  const handler = createRequestHandler({
    protocol: ports.requests,
    operator,
    readings,
    confirmation,
    registry,
    places: slotQueue,
    admission,
    handover,
    budgets: createRetryBudgets({
      share: bounds.repeats.share,
      slack: bounds.repeats.slack,
      entries: () => (members.isKnown() ? entryPeers.size() : undefined),
    }),
    versions,
    unbegun,
    zone: settings.zone,
    quarantine,
    crashMonitor,
    stalls,
    headerRecorder: createHeaderRecorder({
      registry,
      clock,
      limitMonitor,
      log: logs('routing'),
      metrics,
    }),
    trials,
    onQuarantined,
    buffers: createBufferedBytes({
      bound: maxBufferedBytes(settings),
      clock,
      log: logs('requests'),
      onDropped: metrics.countDroppedReader,
    }),
    incoming,
    unread,
    isQuarantineKnown: quarantineStore.isKnown,
    metrics,
    clock,
    machineClock,
    log: logs('requests'),
    maxConfirmationAge,
    listedAt: () => targets.listedAt(),
    plannedStop,
  });
  const callerServer = createCallerServer(handler, clock, {
    maxConnections: maxConnections.callers,
    maxHeaderMemory: memory.headers,
    unread,
    closeArriving: incoming.refuseLongestStalled,
    onClosed: metrics.countClosedConnection,
    clock,
  });
  metrics.observeCallers({
    memory: incoming.memory,
    connections: callerServer.connections,
  });
  const usable = (): readonly MemberDescription[] => {
    const others = entryPeers.usable();
    return isReady() || others.length === 0 ? [self, ...others] : others;
  };

  const reportStreams = createEngineReportStreams(
    entryPeers.takeReport,
    () => ({
      namings: namings.list(),
      servicesDigest: operator.servicesDigest(),
      configurationVersion: operator.table()?.configuration.version ?? 0,
      knownUntil: operator.knownUntil(),
      services: writeServices(operator.table()?.configuration.services),
    }),
    logs('membership'),
    stopped.signal,
  );

  function takeReports(reports: readonly EngineReport[]): void {
    for (const report of reports) {
      namings.merge(report.namings);
      const load = toEngineLoad(report);
      coldTargets.report(load);
      registry.report(load, clock());
    }
    slotQueue.pump();
    handover.check();
  }

  operator.start(stopped.signal);
  quarantineStore.start(stopped.signal);
  const targets = startTargetFollower(
    {
      list: ports.targets,
      registry,
      clock,
      machineClock,
      storeClock,
      storeDistance,
      storeAvailability,
      readsStore: entryPeers.readsTargets,
      onListing: (listing, source) => {
        startup.recordKnown('targets', source);
        entryPeers.relayServer.setTargets(listing);
      },
      spread,
      log: logs('routing'),
      draining: bounds.draining,
      heartbeat: settings.store.heartbeat,
      onTargets: coldTargets.list,
      onChange: slotQueue.pump,
      isConfigured: service => {
        const table = operator.table();
        return table && table.service(service) !== undefined;
      },
    },
    stopped.signal,
  );
  const [peers, directory, readiness] = await Promise.all([
    openPeerServer(
      settings.peerAddress,
      {
        role: 'entry',
        handlers: {
          reportEngine: reportStreams.handleStream,
          follow: entryPeers.relayServer.handleStream,
        },
      },
      maxConnections.peers,
    ),
    openDirectoryServer({
      address: settings.directoryAddress,
      protocol: ports.directory,
      usable,
      regionOf: regions.regionOf,
      regionsOf: host => operator.table()?.regionsOf(host),
      keepFor,
      maxConnections: maxConnections.auxiliary,
    }),
    openReadinessServer({
      address: settings.readinessAddress,
      protocol: ports.directory,
      isReady,
      maxConnections: maxConnections.auxiliary,
    }),
    callerServer.listen(settings.callerAddress),
  ]);
  const metricsServer =
    settings.metricsAddress === undefined
      ? undefined
      : await openMetricsServer({
          address: settings.metricsAddress,
          metrics,
          maxConnections: maxConnections.metrics,
        });
  members.start(stopped.signal);
  const stopPeers = entryPeers.start();

  let resolveEnded = (): void => undefined;
  const ended = new Promise<void>(resolve => (resolveEnded = resolve));
  const stop = async (): Promise<void> => {
    if (plannedStop.phase() !== 'serving') return ended;
    const leaving = plannedStop.begin();
    entryPeers.announceSelf();
    void members.leave();
    await leaving;
    const callers = {
      isIdle: () => handler.running() === 0,
      connections: callerServer.connections,
      endAll: handler.endAll,
    };
    await plannedStop.awaitRequests(callers);
    await callerServer.stopListening();
    await plannedStop.awaitArriving(callers);
    await callerServer.close();
    handler.cutAll();
    stopped.abort();
    stopPeers();
    peers.close();
    await Promise.all([
      directory.close(),
      readiness.close(),
      metricsServer?.close(),
    ]);
    resolveEnded();
  };
  return {stop, stopped: ended};
}
