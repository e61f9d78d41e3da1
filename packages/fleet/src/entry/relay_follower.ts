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

/** Period in which all entries' states are passed on. */
const STATES_PERIOD: Milliseconds = 1_000;

/** How much sooner they go on with other news, for looks that come early. */
const STATES_PERIOD_TOLERANCE: Milliseconds = 50;

/** Looks after which news go out though there are none: a sign of life. */
const CHECKS_BETWEEN_KEEPALIVES = 3;

/** Silence of a follower after which it counts as lost; two of its greetings. */
const MAX_SILENCE: Milliseconds = 2_200;

/** Time after which a configuration is sent again that a follower doesn't hold. */
const CONFIGURATION_RESEND_TIMEOUT: Milliseconds = 1_000;

/** Change of the demand, as a share of what was told, that is told at once. */
const MIN_DEMAND_CHANGE = 0.1;

/** A stream of a follower's greetings, with news in the other direction. */
export type FollowCall = ServerDuplexStream<FollowerGreeting, RelayNews>;

/** The list of targets at a reading, to be passed on. */
export interface RelayedListing {
  readonly revision: Revision;
  readonly era: number;
  readonly storeTime: Milliseconds;
  readonly targets: NumberedTargets;
}

/** Reports to be passed on, by where they are from and where they go. */
export interface RelayedReports {
  /** Of agents, for entries of the own zone. */
  readonly fromAgents: readonly RelayedReport[];
  /** Of other zones' relays, for entries of the own zone. */
  readonly fromRelays: readonly RelayedReport[];
  /** Of agents, for relays of other zones. */
  readonly forOtherZones: readonly RelayedReport[];
}

/** None at all. */
export const NO_REPORTS: RelayedReports = {
  fromAgents: [],
  fromRelays: [],
  forOtherZones: [],
};

/** What an entry knows and passes on. */
export interface UpdateSources {
  readonly states: () => readonly RelayedState[];
  readonly namings: () => VersionNaming[];
  readonly copies: ConfigurationCopies;
  /** This entry's distance from the store if it reads the operator's table. */
  readonly readingDistance: () => Milliseconds | undefined;
  readonly operator: () => OperatorMoment | undefined;
  readonly targets: () => RelayedListing | undefined;
  readonly records: SiteRecords;
  /** What callers ask for by zone, the own one first. */
  readonly demands: () => readonly ZoneDemand[];
}

/** An entry that follows this one. */
export interface RelayFollower {
  /** Its name; empty before its first greeting. */
  readonly instance: () => string;
  readonly greet: (greeting: FollowerGreeting, now: MonotonicInstant) => void;
  readonly isSilent: (now: MonotonicInstant) => boolean;
  /** Counts a look; after some without news, a sign of life is due. */
  readonly check: () => void;
  /** Lets the states be passed on with the next news. */
  readonly requestStates: () => void;
  /** Writes what it does not know yet, unless its window is full. */
  readonly sendUpdate: (reports: RelayedReports, now: MonotonicInstant) => void;
  readonly end: () => void;
}

/** Creates a follower, which remembers what it was told on its stream. */
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
  /** Store times of the newest readings of both tables that it was told. */
  let sentDemand = 0;
  let sentOperatorTime = -Infinity;
  let sentTargetsTime = -Infinity;
  let sentConfiguration: Revision = 0;
  let sentConfigurationAt: MonotonicInstant = -Infinity;

  function sendUpdate(relayed: RelayedReports, now: MonotonicInstant): void {
    // Old news are of no use, so they don't queue behind a full window.
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
      // Whoever is told of a newer row is told of what it says in the same news:
      // the versions that are named, and the configuration if it is another.
      namings: areStatesDue || operator ? sources.namings() : [],
      operator,
      configuration: operator && takeConfiguration(now),
      targets: wantsTables ? takeTargets() : undefined,
      demands: takeDemands(wantsTables, areStatesDue, now),
      ...writeRecords(now),
    };
  }

  /**
   * Failure: relays of two zones tell each other of the same reports for good.
   * Guard: what a relay has passed on goes to entries of the own zone only, which
   * are those that want the tables.
   */
  function wantedReports(
    {wantsReports, wantsTables}: FollowerGreeting,
    {fromAgents, fromRelays, forOtherZones}: RelayedReports,
  ): readonly RelayedReport[] {
    if (!wantsTables) return wantsReports ? forOtherZones : [];
    return wantsReports ? [...fromAgents, ...fromRelays] : fromRelays;
  }

  /** Other relays add up their own zones themselves. */
  function takeDemands(
    isOfZone: boolean,
    areDue: boolean,
    now: MonotonicInstant,
  ): RelayNews['demands'] {
    const known = sources.demands();
    const zones = isOfZone ? known : known.slice(0, 1);
    const places = countRequestedSlots(zones);
    const change = Math.abs(places - sentDemand);
    const isChanged = change > Math.max(1, sentDemand) * MIN_DEMAND_CHANGE;
    if (!areDue && !isChanged) return [];
    sentDemand = places;
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
