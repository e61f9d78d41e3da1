import type {ServerDuplexStream} from '@grpc/grpc-js';
import type {ListedTarget, Milliseconds} from '@hibiscusbeam/core';
import {every, type Clock} from '@hibiscusbeam/daemon';
import type {
  ConfigurationCopy,
  EngineReport,
  EntryState,
  FollowerGreeting,
  RelayNews,
  VersionNaming,
} from '@hibiscusbeam/wire';
import type {ConfigurationCopies} from '../link/configuration_copies';
import {writeTarget} from '../link/relay_messages';
import type {Revision} from '../ports';
import type {OperatorMoment} from './operator_follower';
import type {TargetListing} from './target_follower';

/**
 * Period of looks for what is to be passed on; agents report each 100 ms in the
 * zone, so that a report waits for half of that in the mean.
 */
const PASS_PERIOD: Milliseconds = 100;

/** Looks after which news go out though there are none: a sign of life. */
const LOOKS_BETWEEN_SIGNS = 3;

/** Period in which all entries' states are passed on. */
const STATES_PERIOD: Milliseconds = 1_000;

/** Time in which changes are collected before they are passed on at once. */
const COLLECT_CHANGES: Milliseconds = 10;

/** Silence of a follower after which it counts as lost; two of its greetings. */
const LONGEST_SILENCE: Milliseconds = 2_200;

/** Time after which a configuration is sent again that a follower doesn't hold. */
const COPY_LOST: Milliseconds = 1_000;

/** A stream of a follower's greetings, with news in the other direction. */
export type FollowCall = ServerDuplexStream<FollowerGreeting, RelayNews>;

/** What passing news on needs. */
export interface RelayFaceOptions {
  readonly clock: Clock;
  /** All entries that are known of here, this one included. */
  readonly states: () => EntryState[];
  readonly namings: () => VersionNaming[];
  readonly copies: ConfigurationCopies;
  /** This entry's distance from the store if it reads the operator's table. */
  readonly readingDistance: () => Milliseconds | undefined;
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
  readonly offerOperator: (moment: OperatorMoment) => void;
  readonly offerTargets: (listing: TargetListing) => void;
  /** Passes all states and namings on at once. */
  readonly tellStates: () => void;
  /** Stops passing on. */
  readonly close: () => void;
}

interface Follower {
  readonly call: FollowCall;
  greeting: FollowerGreeting;
  heardAt: number;
  looksSinceNews: number;
  toldStatesAt: number;
  /** Store times of the newest readings of both tables that it was told. */
  toldOperator: number;
  /** The newest configuration that it was sent, and when. */
  toldConfiguration: Revision;
  toldConfigurationAt: number;
  toldTargets: number;
  toldEdition: number;
}

/** Creates the face for followers. */
export function createRelayFace(options: RelayFaceOptions): RelayFace {
  const {clock} = options;
  const followers = new Set<Follower>();
  const reports = new Map<string, EngineReport>();
  let operator: OperatorMoment | undefined;
  let listing: TargetListing | undefined;
  let edition = 1;
  let editionOf: readonly ListedTarget[] = [];
  let soon: NodeJS.Timeout | undefined;
  let stopLooks: (() => void) | undefined;

  function answer(call: FollowCall): void {
    let follower: Follower | undefined;
    const lose = (): void => {
      if (follower === undefined || !followers.delete(follower)) return;
      options.onFollowerLost(follower.greeting.self?.instance ?? '');
    };
    call.on('data', (greeting: FollowerGreeting) => {
      follower ??= welcome(call, greeting);
      follower.greeting = greeting;
      follower.heardAt = clock();
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

  function welcome(call: FollowCall, greeting: FollowerGreeting): Follower {
    const follower: Follower = {
      call,
      greeting,
      heardAt: clock(),
      looksSinceNews: 0,
      toldStatesAt: -Infinity,
      toldOperator: -Infinity,
      toldConfiguration: 0,
      toldConfigurationAt: -Infinity,
      toldTargets: -Infinity,
      toldEdition: 0,
    };
    followers.add(follower);
    stopLooks ??= every(PASS_PERIOD, look);
    tellSoon();
    return follower;
  }

  function tellSoon(): void {
    soon ??= setTimeout(() => {
      soon = undefined;
      passOn([]);
    }, COLLECT_CHANGES);
  }

  function passOn(fresh: readonly EngineReport[]): void {
    for (const follower of [...followers]) {
      // Old news are of no use, so they don't queue behind a full window.
      if (follower.call.writableLength > 0) continue;
      const news = newsFor(follower, fresh);
      if (news === undefined) continue;
      follower.looksSinceNews = 0;
      follower.call.write(news);
    }
  }

  /** Undefined if there is nothing that it does not know yet. */
  function newsFor(
    follower: Follower,
    fresh: readonly EngineReport[],
  ): RelayNews | undefined {
    const {wantsReports, wantsTables, wantsSiteReading} = follower.greeting;
    const news: RelayNews = {
      entries: [],
      namings: [],
      reports: wantsReports ? [...fresh] : [],
      operator: undefined,
      targets: undefined,
      configuration: undefined,
    };
    if (clock() - follower.toldStatesAt >= STATES_PERIOD - PASS_PERIOD / 2) {
      follower.toldStatesAt = clock();
      news.entries = options.states();
      news.namings = options.namings();
    }
    if (wantsTables) {
      addOperator(news, follower);
      addTargets(news, follower);
    }
    if (wantsSiteReading && options.readingDistance() !== undefined) {
      addOperator(news, follower);
    }
    const hasNews =
      news.reports.length > 0 ||
      news.entries.length > 0 ||
      news.operator !== undefined ||
      news.targets !== undefined;
    const isSignDue = follower.looksSinceNews >= LOOKS_BETWEEN_SIGNS;
    return hasNews || isSignDue ? news : undefined;
  }

  /**
   * Whoever is told of a newer row is told of what it says in the same news: the
   * versions that are named, and the configuration if it is another.
   */
  function addOperator(news: RelayNews, follower: Follower): void {
    if (!operator || operator.storeTime === follower.toldOperator) return;
    follower.toldOperator = operator.storeTime;
    news.operator = {...operator, storeDistance: options.readingDistance()};
    news.namings = options.namings();
    news.configuration = configurationFor(follower);
  }

  function configurationFor(follower: Follower): ConfigurationCopy | undefined {
    const base = follower.greeting.heldConfiguration;
    const newest = options.copies.newestRevision();
    const sent =
      clock() - follower.toldConfigurationAt < COPY_LOST
        ? follower.toldConfiguration
        : base;
    if (newest <= Math.max(base, sent)) return undefined;
    follower.toldConfiguration = newest;
    follower.toldConfigurationAt = clock();
    return options.copies.write(base);
  }

  function addTargets(news: RelayNews, follower: Follower): void {
    if (listing && listing.storeTime !== follower.toldTargets) {
      const {revision, storeTime} = listing;
      const rows =
        follower.toldEdition === edition
          ? undefined
          : {targets: editionOf.map(writeTarget)};
      follower.toldTargets = storeTime;
      follower.toldEdition = edition;
      news.targets = {revision, storeTime, edition, rows};
    }
  }

  function look(): void {
    if (followers.size === 0) return close();
    const fresh = [...reports.values()];
    reports.clear();
    for (const follower of [...followers]) {
      follower.looksSinceNews += 1;
      if (clock() - follower.heardAt < LONGEST_SILENCE) continue;
      followers.delete(follower);
      follower.call.end();
      options.onFollowerLost(follower.greeting.self?.instance ?? '');
    }
    passOn(fresh);
  }

  function close(): void {
    stopLooks?.();
    stopLooks = undefined;
    reports.clear();
  }

  function offerTargets(next: TargetListing): void {
    if (listing !== undefined && !isNewer(next, listing)) return;
    listing = next;
    if (!isSameList(next.targets, editionOf)) {
      editionOf = next.targets;
      edition += 1;
    }
    tellSoon();
  }

  return {
    answer,
    offerReport: report => {
      if (followers.size > 0) reports.set(report.engineAddress, report);
    },
    offerOperator: moment => {
      operator = moment;
      tellSoon();
    },
    offerTargets,
    tellStates: () => {
      for (const follower of followers) follower.toldStatesAt = -Infinity;
      tellSoon();
    },
    close,
  };
}

/** A store in which nothing changes has the same revision at each reading. */
function isNewer(next: TargetListing, before: TargetListing): boolean {
  if (next.revision !== before.revision) return next.revision > before.revision;
  return next.storeTime > before.storeTime;
}

function isSameList(
  one: readonly ListedTarget[],
  other: readonly ListedTarget[],
): boolean {
  return JSON.stringify(one) === JSON.stringify(other);
}
