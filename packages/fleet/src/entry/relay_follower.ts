import type {ServerDuplexStream} from '@grpc/grpc-js';
import type {
  Milliseconds,
  MonotonicInstant,
  ZoneDemand,
} from '@hibiscusbeam/core';
import type {
  ConfigurationCopy,
  FollowerGreeting,
  RelayNews,
  VersionNaming,
} from '@hibiscusbeam/wire';
import type {ConfigurationCopies} from '../link/configuration_copies';
import {countRequestedSlots, writeZoneDemands} from '../link/demand_messages';
import {createSentRows} from '../link/numbered_rows';
import {writeReports, type RelayedReport} from '../link/report_batches';
import {hasNoRecords, type SiteRecords} from '../link/site_records';
import {writeStates, type RelayedState} from '../link/state_batches';
import {writeTargetChanges, type NumberedTargets} from '../link/target_changes';
import type {Revision} from '../ports';
import type {OperatorMoment} from './operator_follower';

/** Interval at which the states of all entries are sent. */
const STATES_PERIOD: Milliseconds = 1_000;

/**
 * How much earlier states may be sent with other updates, for checks that run
 * early.
 */
const STATES_PERIOD_TOLERANCE: Milliseconds = 50;

/** Checks without an update after which an empty one is sent as a keepalive. */
const CHECKS_BETWEEN_KEEPALIVES = 3;

/** Silence after which a follower counts as lost; two of its greetings. */
const MAX_SILENCE: Milliseconds = 2_200;

/**
 * Time after which a configuration is sent again if the follower still doesn't
 * hold it.
 */
const CONFIGURATION_RESEND_TIMEOUT: Milliseconds = 1_000;

/**
 * Change of the demand, as a share of what was last sent, that is sent at once.
 */
const MIN_DEMAND_CHANGE = 0.1;

/** A stream of a follower's greetings, with updates in the other direction. */
export type FollowCall = ServerDuplexStream<FollowerGreeting, RelayNews>;

/** A reading of the list of targets, to be relayed. */
export interface RelayedListing {
  readonly revision: Revision;
  readonly era: number;
  readonly storeTime: Milliseconds;
  readonly targets: NumberedTargets;
}

/** Reports to be relayed, by source and destination. */
export interface RelayedReports {
  /** From agents, for entries of the own zone. */
  readonly fromAgents: readonly RelayedReport[];
  /** From other zones' relays, for entries of the own zone. */
  readonly fromRelays: readonly RelayedReport[];
  /** From agents, for relays of other zones. */
  readonly forOtherZones: readonly RelayedReport[];
}

/** No reports. */
export const NO_REPORTS: RelayedReports = {
  fromAgents: [],
  fromRelays: [],
  forOtherZones: [],
};

/** Where updates for followers come from. */
export interface UpdateSources {
  readonly states: () => readonly RelayedState[];
  readonly namings: () => VersionNaming[];
  readonly copies: ConfigurationCopies;
  /**
   * Round trip time to the store if this entry reads the operator's table
   * itself.
   */
  readonly readingDistance: () => Milliseconds | undefined;
  readonly operator: () => OperatorMoment | undefined;
  readonly targets: () => RelayedListing | undefined;
  readonly records: SiteRecords;
  /** Demand of callers by zone, the own zone first. */
  readonly demands: () => readonly ZoneDemand[];
}

/** An entry that follows this one. */
export interface RelayFollower {
  /** Its instance name; empty before its first greeting. */
  readonly instance: () => string;
  readonly greet: (greeting: FollowerGreeting, now: MonotonicInstant) => void;
  readonly isSilent: (now: MonotonicInstant) => boolean;
  /** Counts a check; after some without an update, a keepalive is due. */
  readonly check: () => void;
  /** Includes the states in the next update. */
  readonly requestStates: () => void;
  /** Sends what the follower doesn't know yet, unless its window is full. */
  readonly sendUpdate: (reports: RelayedReports, now: MonotonicInstant) => void;
  readonly end: () => void;
}

/** Creates a follower, which remembers what was sent on its stream. */
export function createRelayFollower(
  call: FollowCall,
  sources: UpdateSources,
): RelayFollower {
  const sentStates = createSentRows();
  const sentReports = createSentRows();
  const sentTargets = createSentRows();
  const writeRecords = sources.records.createWriter();
  let greeting: FollowerGreeting | undefined;
  let greetedAt: MonotonicInstant = -Infinity;
  let checksSinceUpdate = 0;
  let statesSentAt: MonotonicInstant = -Infinity;
  /** Slots in the demand that was last sent. */
  let sentDemand = 0;
  /** Store times of the last sent readings of both tables. */
  let sentOperatorTime = -Infinity;
  let sentTargetsTime = -Infinity;
  let sentConfiguration: Revision = 0;
  let sentConfigurationAt: MonotonicInstant = -Infinity;

  function sendUpdate(relayed: RelayedReports, now: MonotonicInstant): void {
    // Updates don't queue behind a full window, since they would be outdated
    // when sent.
    if (greeting === undefined || call.writableLength > 0) return;
    const update = collectUpdate(
      greeting,
      wantedReports(greeting, relayed),
      now,
    );
    const hasRows =
      update.targets || update.demands.length > 0 || !hasNoRecords(update);
    const hasUpdate =
      update.entries || update.reports || update.operator || hasRows;
    const isKeepaliveDue = checksSinceUpdate >= CHECKS_BETWEEN_KEEPALIVES;
    if (!hasUpdate && !isKeepaliveDue) return;
    checksSinceUpdate = 0;
    call.write(update);
  }

  function collectUpdate(
    {wantsTables, wantsSiteReading}: FollowerGreeting,
    reports: readonly RelayedReport[],
    now: MonotonicInstant,
  ): RelayNews {
    const isSiteReading =
      wantsSiteReading && sources.readingDistance() !== undefined;
    const operator = wantsTables || isSiteReading ? takeOperator() : undefined;
    const areStatesDue =
      now - statesSentAt >= STATES_PERIOD - STATES_PERIOD_TOLERANCE;
    if (areStatesDue) statesSentAt = now;
    return {
      entries: areStatesDue
        ? writeStates(sources.states(), sentStates)
        : undefined,
      reports:
        reports.length > 0
          ? writeReports(reports, sentReports, now)
          : undefined,
      // A newer row is sent together with its contents: the named versions, and
      // the configuration if it has changed.
      namings: areStatesDue || operator ? sources.namings() : [],
      operator,
      configuration: operator && takeConfiguration(now),
      targets: wantsTables ? takeTargets() : undefined,
      demands: takeDemands(wantsTables, areStatesDue, now),
      ...writeRecords(now),
    };
  }

  /**
   * Relayed reports only go to entries of the own zone, which are those that
   * want the tables. Otherwise relays of two zones would forward the same
   * reports to each other forever.
   */
  function wantedReports(
    {wantsReports, wantsTables}: FollowerGreeting,
    {fromAgents, fromRelays, forOtherZones}: RelayedReports,
  ): readonly RelayedReport[] {
    if (!wantsTables) return wantsReports ? forOtherZones : [];
    return wantsReports ? [...fromAgents, ...fromRelays] : fromRelays;
  }

  /**
   * Relays of other zones only get the own zone's demand, since they add up the
   * zones themselves.
   */
  function takeDemands(
    isOfZone: boolean,
    areDue: boolean,
    now: MonotonicInstant,
  ): RelayNews['demands'] {
    const known = sources.demands();
    const zones = isOfZone ? known : known.slice(0, 1);
    const slots = countRequestedSlots(zones);
    const change = Math.abs(slots - sentDemand);
    const isChanged = change > Math.max(1, sentDemand) * MIN_DEMAND_CHANGE;
    if (!areDue && !isChanged) return [];
    sentDemand = slots;
    return writeZoneDemands(zones, now);
  }

  function takeOperator(): RelayNews['operator'] {
    const moment = sources.operator();
    if (!moment || moment.storeTime === sentOperatorTime) return undefined;
    sentOperatorTime = moment.storeTime;
    return {
      ...moment,
      evacuatedZones: [...moment.evacuatedZones],
      storeDistance: sources.readingDistance(),
    };
  }

  function takeConfiguration(
    now: MonotonicInstant,
  ): ConfigurationCopy | undefined {
    const base = greeting?.heldConfiguration ?? 0;
    const newest = sources.copies.newestRevision();
    const isInFlight = now - sentConfigurationAt < CONFIGURATION_RESEND_TIMEOUT;
    if (newest <= Math.max(base, isInFlight ? sentConfiguration : 0)) {
      return undefined;
    }
    sentConfiguration = newest;
    sentConfigurationAt = now;
    return sources.copies.write(base);
  }

  function takeTargets(): RelayNews['targets'] {
    const listing = sources.targets();
    if (!listing || listing.storeTime === sentTargetsTime) return undefined;
    const {revision, era, storeTime, targets} = listing;
    sentTargetsTime = storeTime;
    const changes = writeTargetChanges(targets, sentTargets);
    return {revision, era, storeTime, ...changes};
  }

  return {
    instance: () => greeting?.self?.instance ?? '',
    greet: (next, now) => {
      greeting = next;
      greetedAt = now;
    },
    isSilent: now => now - greetedAt >= MAX_SILENCE,
    check: () => void (checksSinceUpdate += 1),
    requestStates: () => void (statesSentAt = -Infinity),
    sendUpdate,
    end: () => void call.end(),
  };
}
