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
  sleep,
  type Log,
  type LogPart,
  type RunningProcess,
} from '@hibiscusbeam/daemon';
import {randomUUID} from 'node:crypto';
import type {EngineReport} from '@hibiscusbeam/wire';
import {createConfigurationCopies} from '../link/configuration_copies';
import {createFailurePause} from '../link/failure_pause';
import {createMemberFollower} from '../link/member_follower';
import {createNamingExchange} from '../link/naming_exchange';
import {openPeerServer} from '../link/peer_server';
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
import {bufferBound, type FleetEntrySettings} from '../settings';
import {createBufferedBytes} from './buffered_bytes';
import {createCallerFace} from './caller_face';
import {createColdWatch} from './cold_watch';
import {createEntryAdmission, NO_ADMISSION} from './entry_admission';
import {createEntryCircle} from './entry_circle';
import {createEntryQuarantine} from './entry_quarantine';
import {createEngineReportStreams} from './engine_report_stream';
import {createEvacuationWatch} from './evacuation_watch';
import {createFleetMetrics} from './fleet_metrics';
import {createHeldReadings, EVACUATION_BOUND} from './held_readings';
import {createLimitWatch} from './limit_watch';
import {createOperatorFollower} from './operator_follower';
import {createPlaceQueue} from './place_queue';
import {createRepeatBudgets} from './repeat_budgets';
import type {StoppingPhase} from './request_acceptance';
import {createRequestHandler} from './request_handler';
import {createSiteRegions} from './site_regions';
import {openDirectory, openMetricsFace, openReadiness} from './service_faces';
import {createStreamHandover} from './stream_handover';
import {startTargetFollower} from './target_follower';
import {createTargetStatements} from './target_statements';

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
 * Age of the confirmed configuration at which callers are sent to other
 * entries, as a share of the age at which keys aren't served any more. Callers
 * keep a directory's answer for one or two seconds, and the age grows to two
 * seconds between two answers of a store that is well.
 */
const TURNED_AWAY_SHARE = 0.75;

/** Most of a directory answer's life that is used, so that news spread soon. */
const LONGEST_DIRECTORY_LIFE: Milliseconds = 2_000;

/**
 * Share of the grace period after a signal to stop in which new requests are
 * still served; callers have old directory answers for that long.
 */
const SERVING_SHARE = 0.45;

/** Share of the grace period after which what still runs is answered. */
const LAST_ANSWERS_SHARE = 0.9;

/** Share of the grace period after which the process ends at the latest. */
const ENDING_SHARE = 0.95;

/** Period of looks at what still runs while stopping. */
const STOPPING_LOOK: Milliseconds = 50;

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

/** The smaller of two limits, of which either may be missing. */
function smaller(
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
): Promise<RunningProcess> {
  const clock = monotonicClock;
  const metrics = createFleetMetrics();
  const machineClock = startMachineClock(metrics.observeLoopDelay);
  const {bounds} = settings;
  const evacuation = bounds.evacuation ?? EVACUATION_BOUND;
  const stopped = new AbortController();
  let phase: StoppingPhase = 'serving';
  const storeClock = createStoreClock();
  const storeDistance = createStoreDistance();
  const failurePause = createFailurePause(hash32(settings.instance) / 2 ** 32);
  const storeContact = createStoreAvailability(failurePause.noteAnswer);
  const confirmation = createConfirmation(storeClock);
  const copies = createConfigurationCopies();
  const spread = hash32(settings.instance) / 2 ** 32;
  const readings = createHeldReadings({
    confirmation,
    listedAt: () => targets.listedAt(),
    evacuationsReadAt: () => operator.evacuationsReadAt(),
    storeContact,
    machineClock,
    bounds: {...bounds, evacuation},
  });
  const isReadable = (use: ReadingUse): boolean => use !== 'outdated';
  const life = `${settings.instance}-${randomUUID()}`;
  const {quarantine, quarantineStore, trials, crashWatch} =
    createEntryQuarantine({
      table: ports.quarantine,
      holder: life,
      clock,
      log: logs('requests'),
      failurePause,
      onChange: () => circle.offerRecords(),
    });
  const limits = createRateLimits(clock);
  const limitWatch = createLimitWatch({
    limits,
    log: logs('routing'),
    onChange: () => circle.offerRecords(),
  });
  const cold = createColdWatch({
    clock,
    log: logs('routing'),
    metrics,
    table: () => operator.table(),
  });
  const paced = createSendPacer({
    self: {instance: settings.instance, zone: settings.zone},
    rateOf: life => smaller(limits.rateOf(life), cold.rateOf(life)),
    knownShare: () =>
      members.isKnown() ? (circle.usable().length + 1) / circle.size() : 0,
  });
  const regions = createSiteRegions(settings);
  const evacuations = createEvacuationWatch({
    log: logs('configuration'),
    metrics,
    isKnownZone: regions.isKnownZone,
  });
  // An entry that was frozen or is cut off may miss an evacuation or a change of
  // residency, also for requests that it has accepted.
  const arePlacesKnown = (): boolean =>
    isReadable(readings.targets()) &&
    isReadable(readings.evacuations()) &&
    isResidencyKnown();
  const isResidencyKnown = (): boolean =>
    operator.table()?.restrictsRegions !== true ||
    isReadable(readings.configuration());
  const book = createTargetRegistry(
    {instance: settings.instance, zone: settings.zone},
    arePlacesKnown,
    paced.maySend,
    {
      placement: settings.placement,
      isEvacuated: evacuations.isEvacuated,
      regionOf: regions.regionOf,
      isCold: cold.isCold,
    },
  );
  const places = createPlaceQueue(
    book,
    clock,
    paced.recordSend,
    settings.admission === 'level' ? createFairOrder() : undefined,
  );
  const admission =
    settings.admission === 'none'
      ? NO_ADMISSION
      : createEntryAdmission({
          instance: settings.instance,
          zone: settings.zone,
          book,
          metrics,
          log: logs('routing'),
          clock,
          entries: () => circle.size(),
          followsRelay: () => !circle.readsTargets(),
          waitingFor: places.waitingFor,
        });
  const handover = createStreamHandover({
    book,
    clock,
    movesLate: settings.placement === 'forecast',
  });
  const self: MemberDescription = {
    instance: settings.instance,
    role: 'entry',
    zone: settings.zone,
    address: settings.peerAddress,
    callerAddress: settings.callerAddress,
    life,
  };
  const versions = createNamedVersions(bounds.version - VERSION_BOUND_MARGIN);
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
    storeContact,
    versions,
    evacuations,
    log: logs('configuration'),
    // Agents and followers hear of a new version from whoever hears of it first.
    onNews: () => {
      reportStreams.tellAll();
      circle.face.tellStates();
    },
    // Both stand in the operator's table.
    bound: Math.min(bounds.configuration, evacuation),
    copies,
    source: () => circle.operatorSource(),
    onConfiguration: () => circle.greetRelays(),
    onMoment: moment => circle.face.offerOperator(moment),
    spread,
    onChange: () => {
      const limits = operator.table()?.configuration.limits;
      if (limits !== undefined) callers.setIdleTimeout(limits.idleTimeout);
      places.pump();
    },
  });
  const longestConfirmationAge = bounds.revocation - REVOCATION_MARGIN;
  // Failure: an entry that is cut off from the store refuses every request with
  // a key, and its callers come back to it though the others would serve them.
  // Guard: it counts as unready before that, and directories leave it out.
  const isReady = (): boolean =>
    phase === 'serving' &&
    operator.table() !== undefined &&
    quarantineStore.isKnown() &&
    isReadable(readings.configuration()) &&
    isReadable(readings.targets()) &&
    confirmation.isFresh(
      machineClock(),
      longestConfirmationAge * TURNED_AWAY_SHARE,
    );
  const circle = createEntryCircle({
    self,
    isReady,
    clock,
    log: logs('membership'),
    copies,
    records: createSiteRecords(quarantine, limits),
    demands: admission.exchange,
    storeDistance: storeDistance.min,
    namings: namings.tell,
    onNamings: namings.take,
    onReports: takeReports,
    onTables: news => {
      const {operator: moment, configuration, targets: listing} = news;
      if (moment !== undefined || listing !== undefined) {
        failurePause.noteAnswer();
      }
      if (moment !== undefined) operator.hear(moment, configuration);
      if (listing !== undefined) targets.hear(listing);
    },
    onUsable: () => {
      const senders = [self, ...circle.usable()];
      book.setEntries(senders);
      paced.setSenders(senders);
    },
  });
  const members = createMemberFollower({
    self,
    table: ports.members,
    clock,
    log: logs('membership'),
    failurePause,
    onChange: circle.setMembers,
  });
  const handler = createRequestHandler({
    protocol: ports.requests,
    operator,
    readings,
    confirmation,
    book,
    places,
    admission,
    handover,
    budgets: createRepeatBudgets({
      share: bounds.repeats.share,
      slack: bounds.repeats.slack,
      entries: () => (members.isKnown() ? circle.size() : undefined),
    }),
    versions,
    quarantine,
    crashWatch,
    statements: createTargetStatements({
      book,
      clock,
      limitWatch,
      log: logs('routing'),
      metrics,
    }),
    trials,
    buffers: createBufferedBytes({
      bound: bufferBound(settings),
      clock,
      log: logs('requests'),
      onDropped: metrics.countDroppedReader,
    }),
    isQuarantineKnown: quarantineStore.isKnown,
    metrics,
    clock,
    machineClock,
    log: logs('requests'),
    longestConfirmationAge,
    listedAt: () => targets.listedAt(),
    stopping: () => phase,
  });
  const callers = createCallerFace(handler, clock);
  const usable = (): readonly MemberDescription[] => {
    const others = circle.usable();
    return isReady() || others.length === 0 ? [self, ...others] : others;
  };

  const reportStreams = createEngineReportStreams(
    circle.takeReport,
    () => ({
      namings: namings.tell(),
      servicesDigest: operator.servicesDigest(),
    }),
    stopped.signal,
  );

  function takeReports(reports: readonly EngineReport[]): void {
    for (const report of reports) {
      namings.take(report.namings);
      const load = toEngineLoad(report);
      cold.report(load);
      book.report(load, clock());
    }
    places.pump();
    handover.look();
  }

  operator.start(stopped.signal);
  quarantineStore.start(stopped.signal);
  const targets = startTargetFollower(
    {
      list: ports.targets,
      book,
      clock,
      machineClock,
      storeClock,
      storeDistance,
      storeContact,
      readsStore: circle.readsTargets,
      onListing: circle.face.offerTargets,
      spread,
      log: logs('routing'),
      draining: bounds.draining,
      heartbeat: settings.store.heartbeat,
      onTargets: cold.list,
      onChange: places.pump,
      isConfigured: service => {
        const table = operator.table();
        return table && table.service(service) !== undefined;
      },
    },
    stopped.signal,
  );
  const [peers, directory, readiness] = await Promise.all([
    openPeerServer(settings.peerAddress, {
      role: 'entry',
      handlers: {
        reportEngine: reportStreams.answer,
        follow: circle.face.answer,
      },
    }),
    openDirectory({
      address: settings.directoryAddress,
      protocol: ports.directory,
      usable,
      regionOf: regions.regionOf,
      regionsOf: host => operator.table()?.regionsOf(host),
      keepFor: Math.min(bounds.directoryAnswer, LONGEST_DIRECTORY_LIFE),
    }),
    openReadiness(settings.readinessAddress, ports.directory, isReady),
    callers.listen(settings.callerAddress),
  ]);
  const metricsFace =
    settings.metricsAddress === undefined
      ? undefined
      : await openMetricsFace(settings.metricsAddress, metrics);
  members.start(stopped.signal);
  const stopCircle = circle.start();

  let finish = (): void => undefined;
  const ended = new Promise<void>(resolve => (finish = resolve));
  const stop = async (): Promise<void> => {
    if (phase !== 'serving') return ended;
    const signalledAt = clock();
    const isPast = (share: number): boolean =>
      clock() - signalledAt >= bounds.grace * share;
    phase = 'leaving';
    circle.tellSelf();
    void members.leave();
    await sleep(bounds.grace * SERVING_SHARE);
    phase = 'closing';
    while (handler.running() > 0 && !isPast(ENDING_SHARE)) {
      if (isPast(LAST_ANSWERS_SHARE)) handler.endAll();
      await sleep(STOPPING_LOOK);
    }
    stopped.abort();
    stopCircle();
    callers.close();
    peers.close();
    await Promise.all([
      directory.close(),
      readiness.close(),
      metricsFace?.close(),
    ]);
    finish();
  };
  return {stop, stopped: ended};
}
