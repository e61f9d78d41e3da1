import type {ListedTarget, Milliseconds, ZoneDemand} from '@hibiscusbeam/core';
import {every, type Clock} from '@hibiscusbeam/daemon';
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
 * Period of looks for what is to be passed on; agents report up to each 100 ms in
 * the zone, so that a report waits for half of that in the mean.
 */
const SEND_PERIOD: Milliseconds = 100;

/**
 * Looks between two lists of reports for relays of other zones. Their entries may
 * give an engine two requests within a report, so a report each 100 ms would let
 * them fill engines of this zone.
 */
const CHECKS_BETWEEN_ZONE_REPORTS = 3;

/** Time in which changes are collected before they are passed on at once. */
const SEND_DELAY: Milliseconds = 10;

/** What passing news on needs. */
export interface RelayServerOptions {
  readonly clock: Clock;
  /** All entries that are known of here, this one included. */
  readonly states: () => readonly EntryState[];
  readonly namings: () => VersionNaming[];
  readonly copies: ConfigurationCopies;
  readonly records: SiteRecords;
  /** This entry's distance from the store if it reads the operator's table. */
  readonly readingDistance: () => Milliseconds | undefined;
  /** What callers ask for by zone, the own one first. */
  readonly demands: () => readonly ZoneDemand[];
  /** Told of each greeting of a follower. */
  readonly onGreeting: (greeting: FollowerGreeting) => void;
  /** Told when a follower has fallen silent or its connection has broken. */
  readonly onFollowerLost: (instance: string) => void;
}

/** Passes on to other entries what this one knows. */
export interface RelayServer {
  readonly handleStream: (call: FollowCall) => void;
  /** Takes a report that an agent has sent here. */
  readonly queueReport: (report: EngineReport) => void;
  /** Takes reports that the relay of another zone has passed on. */
  readonly queueZoneReports: (reports: readonly EngineReport[]) => void;
  readonly setOperator: (moment: OperatorMoment) => void;
  readonly setTargets: (listing: TargetListing) => void;
  /** Passes all states and namings on at once. */
  readonly sendStates: () => void;
  /** Passes on soon what has changed in the site's records. */
  readonly scheduleRecords: () => void;
  /** Stops passing on. */
  readonly close: () => void;
}

/** Creates the face for followers. */
export function createRelayServer(options: RelayServerOptions): RelayServer {
  const {clock} = options;
  const followers = new Set<RelayFollower>();
  const numberState = createStateNumbers();
  const numberReport = createReportNumbers();
  const numberTargets = createTargetNumbers();
  /** Of agents, for entries of the own zone, and for other zones' relays. */
  const agentReports = new Map<string, RelayedReport>();
  const reportsForOtherZones = new Map<string, RelayedReport>();
  /** Of other zones' relays, for entries of the own zone. */
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
    call.on('data', (greeting: FollowerGreeting) => {
      follower ??= addFollower(call);
      follower.greet(greeting, clock());
      options.onGreeting(greeting);
    });
    call.on('end', () => {
      // It follows another relay now, which tells how it stands.
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
   * Failure: an engine is about to load or has died, and entries three steps away
   * send to it for 300 ms more. Guard: what changes what an engine serves goes on
   * at once; how much it runs goes on with the next look.
   */
  function recordReport(report: EngineReport): RelayedReport {
    const passed = numberReport(report, clock());
    if (passed.changesState) {
      hasStateChange = true;
      sendSoon();
    }
    return passed;
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
      const passed = recordReport(report);
      agentReports.set(report.engineAddress, passed);
      reportsForOtherZones.set(report.engineAddress, passed);
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

/** A store in which nothing changes has the same revision at each reading. */
function isNewer(next: TargetListing, before: RelayedListing): boolean {
  if (next.revision !== before.revision) return next.revision > before.revision;
  return next.storeTime > before.storeTime;
}
