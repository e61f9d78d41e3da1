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
import {placesAskedFor, writeZoneDemands} from '../link/demand_messages';
import {createToldRows} from '../link/numbered_rows';
import {writeReports, type PassedReport} from '../link/report_batches';
import {hasNoRecords, type SiteRecords} from '../link/site_records';
import {writeStates, type PassedState} from '../link/state_batches';
import {writeTargetChanges, type NumberedTargets} from '../link/target_changes';
import type {Revision} from '../ports';
import type {OperatorMoment} from './operator_follower';

/** Period in which all entries' states are passed on. */
const STATES_PERIOD: Milliseconds = 1_000;

/** How much sooner they go on with other news, for looks that come early. */
const STATES_EARLY: Milliseconds = 50;

/** Looks after which news go out though there are none: a sign of life. */
const LOOKS_BETWEEN_SIGNS = 3;

/** Silence of a follower after which it counts as lost; two of its greetings. */
const LONGEST_SILENCE: Milliseconds = 2_200;

/** Time after which a configuration is sent again that a follower doesn't hold. */
const COPY_LOST: Milliseconds = 1_000;

/** Change of the demand, as a share of what was told, that is told at once. */
const TOLD_CHANGE = 0.1;

/** A stream of a follower's greetings, with news in the other direction. */
export type FollowCall = ServerDuplexStream<FollowerGreeting, RelayNews>;

/** The list of targets at a reading, to be passed on. */
export interface PassedListing {
  readonly revision: Revision;
  readonly era: number;
  readonly storeTime: Milliseconds;
  readonly targets: NumberedTargets;
}

/** Reports to be passed on, by where they are from and where they go. */
export interface PassedReports {
  /** Of agents, for entries of the own zone. */
  readonly ofAgents: readonly PassedReport[];
  /** Of other zones' relays, for entries of the own zone. */
  readonly ofRelays: readonly PassedReport[];
  /** Of agents, for relays of other zones. */
  readonly forFar: readonly PassedReport[];
}

/** None at all. */
export const NO_REPORTS: PassedReports = {
  ofAgents: [],
  ofRelays: [],
  forFar: [],
};

/** What an entry knows and passes on. */
export interface PassedKnowledge {
  readonly states: () => readonly PassedState[];
  readonly namings: () => VersionNaming[];
  readonly copies: ConfigurationCopies;
  /** This entry's distance from the store if it reads the operator's table. */
  readonly readingDistance: () => Milliseconds | undefined;
  readonly operator: () => OperatorMoment | undefined;
  readonly targets: () => PassedListing | undefined;
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
  readonly look: () => void;
  /** Lets the states be passed on with the next news. */
  readonly wantStates: () => void;
  /** Writes what it does not know yet, unless its window is full. */
  readonly tell: (reports: PassedReports, now: MonotonicInstant) => void;
  readonly end: () => void;
}

/** Creates a follower, which remembers what it was told on its stream. */
export function createRelayFollower(
  call: FollowCall,
  knowledge: PassedKnowledge,
): RelayFollower {
  const toldStates = createToldRows();
  const toldReports = createToldRows();
  const toldTargets = createToldRows();
  const writeRecords = knowledge.records.createWriter();
  let greeting: FollowerGreeting | undefined;
  let heardAt: MonotonicInstant = -Infinity;
  let looksSinceNews = 0;
  let statesToldAt: MonotonicInstant = -Infinity;
  /** Store times of the newest readings of both tables that it was told. */
  let placesTold = 0;
  let operatorTold = -Infinity;
  let targetsTold = -Infinity;
  let sentConfiguration: Revision = 0;
  let sentConfigurationAt: MonotonicInstant = -Infinity;

  function tell(passed: PassedReports, now: MonotonicInstant): void {
    // Old news are of no use, so they don't queue behind a full window.
    if (greeting === undefined || call.writableLength > 0) return;
    const news = collectNews(greeting, wantedReports(greeting, passed), now);
    const hasRows =
      news.targets || news.demands.length > 0 || !hasNoRecords(news);
    const hasNews = news.entries || news.reports || news.operator || hasRows;
    const isSignDue = looksSinceNews >= LOOKS_BETWEEN_SIGNS;
    if (!hasNews && !isSignDue) return;
    looksSinceNews = 0;
    call.write(news);
  }

  function collectNews(
    {wantsTables, wantsSiteReading}: FollowerGreeting,
    reports: readonly PassedReport[],
    now: MonotonicInstant,
  ): RelayNews {
    const isSiteReading =
      wantsSiteReading && knowledge.readingDistance() !== undefined;
    const operator = wantsTables || isSiteReading ? takeOperator() : undefined;
    const areStatesDue = now - statesToldAt >= STATES_PERIOD - STATES_EARLY;
    if (areStatesDue) statesToldAt = now;
    return {
      entries: areStatesDue
        ? writeStates(knowledge.states(), toldStates)
        : undefined,
      reports:
        reports.length > 0
          ? writeReports(reports, toldReports, now)
          : undefined,
      // Whoever is told of a newer row is told of what it says in the same news:
      // the versions that are named, and the configuration if it is another.
      namings: areStatesDue || operator ? knowledge.namings() : [],
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
    {ofAgents, ofRelays, forFar}: PassedReports,
  ): readonly PassedReport[] {
    if (!wantsTables) return wantsReports ? forFar : [];
    return wantsReports ? [...ofAgents, ...ofRelays] : ofRelays;
  }

  /** Other relays add up their own zones themselves. */
  function takeDemands(
    isOfZone: boolean,
    areDue: boolean,
    now: MonotonicInstant,
  ): RelayNews['demands'] {
    const known = knowledge.demands();
    const zones = isOfZone ? known : known.slice(0, 1);
    const places = placesAskedFor(zones);
    const change = Math.abs(places - placesTold);
    const isChanged = change > Math.max(1, placesTold) * TOLD_CHANGE;
    if (!areDue && !isChanged) return [];
    placesTold = places;
    return writeZoneDemands(zones, now);
  }

  function takeOperator(): RelayNews['operator'] {
    const moment = knowledge.operator();
    if (!moment || moment.storeTime === operatorTold) return undefined;
    operatorTold = moment.storeTime;
    return {
      ...moment,
      evacuatedZones: [...moment.evacuatedZones],
      storeDistance: knowledge.readingDistance(),
    };
  }

  function takeConfiguration(
    now: MonotonicInstant,
  ): ConfigurationCopy | undefined {
    const base = greeting?.heldConfiguration ?? 0;
    const newest = knowledge.copies.newestRevision();
    const isOnItsWay = now - sentConfigurationAt < COPY_LOST;
    if (newest <= Math.max(base, isOnItsWay ? sentConfiguration : 0)) {
      return undefined;
    }
    sentConfiguration = newest;
    sentConfigurationAt = now;
    return knowledge.copies.write(base);
  }

  function takeTargets(): RelayNews['targets'] {
    const listing = knowledge.targets();
    if (!listing || listing.storeTime === targetsTold) return undefined;
    const {revision, era, storeTime, targets} = listing;
    targetsTold = storeTime;
    const changes = writeTargetChanges(targets, toldTargets);
    return {revision, era, storeTime, ...changes};
  }

  return {
    instance: () => greeting?.self?.instance ?? '',
    greet: (next, now) => {
      greeting = next;
      heardAt = now;
    },
    isSilent: now => now - heardAt >= LONGEST_SILENCE,
    look: () => void (looksSinceNews += 1),
    wantStates: () => void (statesToldAt = -Infinity),
    tell,
    end: () => void call.end(),
  };
}
