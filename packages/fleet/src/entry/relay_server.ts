import type {ListedTarget, Milliseconds, ZoneDemand} from '@hibiscusbeam/core';
import {
  every,
  handlePeerMessages,
  type Clock,
  type Log,
} from '@hibiscusbeam/daemon';
import type {
  EngineReport,
  EntryState,
  FollowerGreeting,
  VersionNaming,
} from '@hibiscusbeam/wire';
import type {ConfigurationCopies} from '../link/configuration_copies';
import {createReportNumbers, type RelayedReport} from '../link/report_batches';
import type {SiteRecords} from '../link/site_records';
import {createStateNumbers} from '../link/state_batches';
import {createTargetNumbers} from '../link/target_changes';
import type {OperatorMoment} from './operator_follower';
import {
  createRelayFollower,
  NO_REPORTS,
  type FollowCall,
  type RelayedListing,
  type RelayedReports,
  type RelayFollower,
} from './relay_follower';
import type {TargetListing} from './target_follower';

/**
 * Interval between updates to followers. Agents of the zone report up to every
 * 100 ms, so a report waits for half of that on average.
 */
const SEND_PERIOD: Milliseconds = 100;

/**
 * Checks between two batches of reports for relays of other zones. Their
 * entries may send an engine two requests for each report, so reports every 100
 * ms would let them fill the engines of this zone.
 */
const CHECKS_BETWEEN_ZONE_REPORTS = 3;

/** Delay in which urgent changes are collected before they are sent. */
const SEND_DELAY: Milliseconds = 10;

/** Options of the relay server. */
export interface RelayServerOptions {
  readonly clock: Clock;
  readonly log: Log;
  /** All known entries, including this one. */
  readonly states: () => readonly EntryState[];
  readonly namings: () => VersionNaming[];
  readonly copies: ConfigurationCopies;
  readonly records: SiteRecords;
  /**
   * Round trip time to the store if this entry reads the operator's table
   * itself.
   */
  readonly readingDistance: () => Milliseconds | undefined;
  /** Demand of callers by zone, the own zone first. */
  readonly demands: () => readonly ZoneDemand[];
  /** Called for each greeting of a follower. */
  readonly onGreeting: (greeting: FollowerGreeting) => void;
  /** Called when a follower has fallen silent or its connection has broken. */
  readonly onFollowerLost: (instance: string) => void;
}

/** Sends other entries what this one knows. */
export interface RelayServer {
  readonly handleStream: (call: FollowCall) => void;
  /** Queues a report that an agent has sent here. */
  readonly queueReport: (report: EngineReport) => void;
  /** Queues reports that the relay of another zone has sent. */
  readonly queueZoneReports: (reports: readonly EngineReport[]) => void;
  readonly setOperator: (moment: OperatorMoment) => void;
  readonly setTargets: (listing: TargetListing) => void;
  /** Sends all states and version namings at once. */
  readonly sendStates: () => void;
  /** Schedules an update with what has changed in the site's records. */
  readonly scheduleRecords: () => void;
  /** Stops sending updates. */
  readonly close: () => void;
}

/** Creates the server for followers. */
export function createRelayServer(options: RelayServerOptions): RelayServer {
  const {clock} = options;
  const followers = new Set<RelayFollower>();
  const numberState = createStateNumbers();
  const numberReport = createReportNumbers();
  const numberTargets = createTargetNumbers();
  /** From agents, for entries of the own zone, and for other zones' relays. */
  const agentReports = new Map<string, RelayedReport>();
  const reportsForOtherZones = new Map<string, RelayedReport>();
  /** From other zones' relays, for entries of the own zone. */
  const zoneReports = new Map<string, RelayedReport>();
  let checks = 0;
  let hasStateChange = false;
  let operator: OperatorMoment | undefined;
  let listing: RelayedListing | undefined;
  let listedTargets: readonly ListedTarget[] | undefined;
  let pendingSend: NodeJS.Timeout | undefined;
  let stopChecks: (() => void) | undefined;

  function handleStream(call: FollowCall): void {
    let follower: RelayFollower | undefined;
    const lose = (): void => {
      if (follower === undefined || !followers.delete(follower)) return;
      options.onFollowerLost(follower.instance());
    };
    handlePeerMessages(call, options.log, (greeting: FollowerGreeting) => {
      follower ??= addFollower(call);
      follower.greet(greeting, clock());
      options.onGreeting(greeting);
    });
    call.on('end', () => {
      // It follows another relay now, which reports its status.
      if (follower !== undefined) followers.delete(follower);
      call.end();
    });
    call.on('error', lose);
    call.on('cancelled', lose);
    call.on('close', lose);
  }

  function addFollower(call: FollowCall): RelayFollower {
    const follower = createRelayFollower(call, {
      states: () => options.states().map(numberState),
      namings: options.namings,
      copies: options.copies,
      records: options.records,
      demands: options.demands,
      readingDistance: options.readingDistance,
      operator: () => operator,
      targets: () => listing,
    });
    followers.add(follower);
    stopChecks ??= every(SEND_PERIOD, check);
    sendSoon();
    return follower;
  }

  function sendSoon(): void {
    pendingSend ??= setTimeout(() => {
      pendingSend = undefined;
      if (hasStateChange) sendToFollowers(takeReports(true));
      else sendToFollowers(NO_REPORTS);
    }, SEND_DELAY);
  }

  function takeReports(areOtherZonesDue: boolean): RelayedReports {
    hasStateChange = false;
    const taken = {
      fromAgents: [...agentReports.values()],
      fromRelays: [...zoneReports.values()],
      forOtherZones: areOtherZonesDue ? [...reportsForOtherZones.values()] : [],
    };
    agentReports.clear();
    zoneReports.clear();
    if (areOtherZonesDue) reportsForOtherZones.clear();
    return taken;
  }

  function sendToFollowers(reports: RelayedReports): void {
    const now = clock();
    for (const follower of [...followers]) follower.sendUpdate(reports, now);
  }

  function check(): void {
    if (followers.size === 0) return close();
    checks += 1;
    const reports = takeReports(checks % CHECKS_BETWEEN_ZONE_REPORTS === 0);
    for (const follower of [...followers]) {
      follower.check();
      if (!follower.isSilent(clock())) continue;
      followers.delete(follower);
      follower.end();
      options.onFollowerLost(follower.instance());
    }
    sendToFollowers(reports);
  }

  /**
   * Changes of what an engine serves are sent at once, how much it runs with
   * the next check. Otherwise entries three hops away would keep sending for
   * 300 ms to an engine that is about to load or has died.
   */
  function recordReport(report: EngineReport): RelayedReport {
    const relayed = numberReport(report, clock());
    if (relayed.changesState) {
      hasStateChange = true;
      sendSoon();
    }
    return relayed;
  }

  function close(): void {
    stopChecks?.();
    stopChecks = undefined;
    takeReports(true);
  }

  function setTargets(next: TargetListing): void {
    if (listing !== undefined && !isNewer(next, listing)) return;
    const {revision, era, storeTime, targets} = next;
    const isSame = targets === listedTargets;
    listedTargets = targets;
    listing = {
      revision,
      era,
      storeTime,
      targets: listing && isSame ? listing.targets : numberTargets(targets),
    };
    sendSoon();
  }

  return {
    handleStream,
    queueReport: report => {
      if (followers.size === 0) return;
      const relayed = recordReport(report);
      agentReports.set(report.engineAddress, relayed);
      reportsForOtherZones.set(report.engineAddress, relayed);
    },
    queueZoneReports: reports => {
      if (followers.size === 0) return;
      for (const report of reports) {
        zoneReports.set(report.engineAddress, recordReport(report));
      }
    },
    setOperator: moment => {
      operator = moment;
      sendSoon();
    },
    setTargets,
    scheduleRecords: sendSoon,
    sendStates: () => {
      for (const follower of followers) follower.requestStates();
      sendSoon();
    },
    close,
  };
}

/**
 * If nothing changes in the store, all readings have the same revision; then
 * the later one is newer.
 */
function isNewer(next: TargetListing, before: RelayedListing): boolean {
  if (next.revision !== before.revision) return next.revision > before.revision;
  return next.storeTime > before.storeTime;
}
