import type {ListedTarget, Milliseconds, ZoneDemand} from '@hibiscusbeam/core';
import {every, type Clock} from '@hibiscusbeam/daemon';
import type {
  EngineReport,
  EntryState,
  FollowerGreeting,
  VersionNaming,
} from '@hibiscusbeam/wire';
import type {ConfigurationCopies} from '../link/configuration_copies';
import {createReportNumbers, type PassedReport} from '../link/report_batches';
import type {SiteRecords} from '../link/site_records';
import {createStateNumbers} from '../link/state_batches';
import {createTargetNumbers} from '../link/target_changes';
import type {OperatorMoment} from './operator_follower';
import {
  createRelayFollower,
  NO_REPORTS,
  type FollowCall,
  type PassedListing,
  type PassedReports,
  type RelayFollower,
} from './relay_follower';
import type {TargetListing} from './target_follower';

/**
 * Period of looks for what is to be passed on; agents report up to each 100 ms in
 * the zone, so that a report waits for half of that in the mean.
 */
const PASS_PERIOD: Milliseconds = 100;

/**
 * Looks between two lists of reports for relays of other zones. Their entries may
 * give an engine two requests within a report, so a report each 100 ms would let
 * them fill engines of this zone.
 */
const LOOKS_BETWEEN_FAR_REPORTS = 3;

/** Time in which changes are collected before they are passed on at once. */
const COLLECT_CHANGES: Milliseconds = 10;

/** What passing news on needs. */
export interface RelayFaceOptions {
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
export interface RelayFace {
  readonly answer: (call: FollowCall) => void;
  /** Takes a report that an agent has sent here. */
  readonly offerReport: (report: EngineReport) => void;
  /** Takes reports that the relay of another zone has passed on. */
  readonly offerFarReports: (reports: readonly EngineReport[]) => void;
  readonly offerOperator: (moment: OperatorMoment) => void;
  readonly offerTargets: (listing: TargetListing) => void;
  /** Passes all states and namings on at once. */
  readonly tellStates: () => void;
  /** Passes on soon what has changed in the site's records. */
  readonly offerRecords: () => void;
  /** Stops passing on. */
  readonly close: () => void;
}

/** Creates the face for followers. */
export function createRelayFace(options: RelayFaceOptions): RelayFace {
  const {clock} = options;
  const followers = new Set<RelayFollower>();
  const numberState = createStateNumbers();
  const numberReport = createReportNumbers();
  const numberTargets = createTargetNumbers();
  /** Of agents, for entries of the own zone, and for other zones' relays. */
  const agentReports = new Map<string, PassedReport>();
  const reportsForFar = new Map<string, PassedReport>();
  /** Of other zones' relays, for entries of the own zone. */
  const farReports = new Map<string, PassedReport>();
  let looks = 0;
  let isStateNew = false;
  let operator: OperatorMoment | undefined;
  let listing: PassedListing | undefined;
  let listed: readonly ListedTarget[] | undefined;
  let soon: NodeJS.Timeout | undefined;
  let stopLooks: (() => void) | undefined;

  function answer(call: FollowCall): void {
    let follower: RelayFollower | undefined;
    const lose = (): void => {
      if (follower === undefined || !followers.delete(follower)) return;
      options.onFollowerLost(follower.instance());
    };
    call.on('data', (greeting: FollowerGreeting) => {
      follower ??= welcome(call);
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

  function welcome(call: FollowCall): RelayFollower {
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
    stopLooks ??= every(PASS_PERIOD, look);
    tellSoon();
    return follower;
  }

  function tellSoon(): void {
    soon ??= setTimeout(() => {
      soon = undefined;
      if (isStateNew) passOn(takeReports(true));
      else passOn(NO_REPORTS);
    }, COLLECT_CHANGES);
  }

  function takeReports(isFarDue: boolean): PassedReports {
    isStateNew = false;
    const taken = {
      ofAgents: [...agentReports.values()],
      ofRelays: [...farReports.values()],
      forFar: isFarDue ? [...reportsForFar.values()] : [],
    };
    agentReports.clear();
    farReports.clear();
    if (isFarDue) reportsForFar.clear();
    return taken;
  }

  function passOn(reports: PassedReports): void {
    const now = clock();
    for (const follower of [...followers]) follower.tell(reports, now);
  }

  function look(): void {
    if (followers.size === 0) return close();
    looks += 1;
    const reports = takeReports(looks % LOOKS_BETWEEN_FAR_REPORTS === 0);
    for (const follower of [...followers]) {
      follower.look();
      if (!follower.isSilent(clock())) continue;
      followers.delete(follower);
      follower.end();
      options.onFollowerLost(follower.instance());
    }
    passOn(reports);
  }

  /**
   * Failure: an engine is about to load or has died, and entries three steps away
   * send to it for 300 ms more. Guard: what changes what an engine serves goes on
   * at once; how much it runs goes on with the next look.
   */
  function noteReport(report: EngineReport): PassedReport {
    const passed = numberReport(report, clock());
    if (passed.changesState) {
      isStateNew = true;
      tellSoon();
    }
    return passed;
  }

  function close(): void {
    stopLooks?.();
    stopLooks = undefined;
    takeReports(true);
  }

  function offerTargets(next: TargetListing): void {
    if (listing !== undefined && !isNewer(next, listing)) return;
    const {revision, era, storeTime, targets} = next;
    const isSame = targets === listed;
    listed = targets;
    listing = {
      revision,
      era,
      storeTime,
      targets: listing && isSame ? listing.targets : numberTargets(targets),
    };
    tellSoon();
  }

  return {
    answer,
    offerReport: report => {
      if (followers.size === 0) return;
      const passed = noteReport(report);
      agentReports.set(report.engineAddress, passed);
      reportsForFar.set(report.engineAddress, passed);
    },
    offerFarReports: reports => {
      if (followers.size === 0) return;
      for (const report of reports) {
        farReports.set(report.engineAddress, noteReport(report));
      }
    },
    offerOperator: moment => {
      operator = moment;
      tellSoon();
    },
    offerTargets,
    offerRecords: tellSoon,
    tellStates: () => {
      for (const follower of followers) follower.wantStates();
      tellSoon();
    },
    close,
  };
}

/** A store in which nothing changes has the same revision at each reading. */
function isNewer(next: TargetListing, before: PassedListing): boolean {
  if (next.revision !== before.revision) return next.revision > before.revision;
  return next.storeTime > before.storeTime;
}
