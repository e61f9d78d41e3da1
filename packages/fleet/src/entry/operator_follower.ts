import {
  createRouteTable,
  type Confirmation,
  type Milliseconds,
  type MonotonicInstant,
  type NamedVersions,
  type RouteTable,
} from '@hibiscusbeam/core';
import {sleep, type Clock, type Log} from '@hibiscusbeam/daemon';
import {runFeedLoop} from '../link/feed_loop';
import {servicesDigest} from '../link/services_digest';
import type {OperatorFeed, OperatorReading, Revision} from '../ports';

/**
 * How long one question waits for a change, as a share of the bound in which a
 * configuration must be in force. Each question costs a call; the followers of a
 * relay know by each answer that nothing was written.
 */
const WAIT_SHARE = 0.2;

/**
 * Age of the last confirmation, as a share of the same bound, after which an entry
 * with a relay asks the store itself: twice the relay's waits.
 *
 * Failure: an answer to the relay is lost, and none of its zone hears of a new
 * configuration until the relay has given the question up. Asked after 2.6 s, the
 * store told a follower of it 0.6 s after its bound of 2 s. Guard: half of the
 * bound is left for the own question.
 */
const CONFIRMED_SHARE = 0.4;

/** Share of that which is added, by entry, so that not all ask at once. */
const ASK_SPREAD = 0.1;

/** Looks within the bound at whether the store has to be asked. */
const LOOKS_IN_BOUND = 20;

/**
 * Period in which an entry with a relay asks the store all the same: by the
 * answers it knows what the store's clock, as its relay tells it, means here.
 */
const OWN_LOOK: Milliseconds = 20_000;

/** Time beyond the wait after which a question counts as lost. */
const ANSWER_SLACK: Milliseconds = 800;

/** Pauses after failed questions, from the first to the longest. */
const FIRST_PAUSE: Milliseconds = 100;
const LONGEST_PAUSE: Milliseconds = 500;

/** The operator's table at a reading, without its rows. */
export interface OperatorMoment {
  /** The store's revision. */
  readonly revision: Revision;
  /** Revision of the table's newest row. */
  readonly newestChange: Revision;
  /** The store's own steady clock. */
  readonly storeTime: Milliseconds;
}

/** What the operator wants, as far as this process knows. */
export interface OperatorFollower {
  readonly start: (signal: AbortSignal) => void;
  /** Takes a reading of the relay. */
  readonly hear: (moment: OperatorMoment) => void;
  /** The newest configuration; undefined until one was read. */
  readonly table: () => RouteTable | undefined;
  /** Digest of the configured services; of none before the first. */
  readonly servicesDigest: () => number;
}

/** What a follower needs. */
export interface OperatorFollowerOptions {
  readonly feed: OperatorFeed;
  readonly clock: Clock;
  readonly confirmation: Confirmation;
  readonly versions: NamedVersions;
  readonly log: Log;
  readonly onChange: () => void;
  /** Time from a configuration's writing until it must be in force. */
  readonly bound: Milliseconds;
  /** Whether no relay of the zone reads the table for this entry. */
  readonly readsStore: () => boolean;
  /** Told of each reading, own or heard, that is newer than those before. */
  readonly onMoment: (moment: OperatorMoment) => void;
  /** Number in [0, 1) that differs by entry. */
  readonly spread: number;
  /** Told of a version that is new, and of other services. */
  readonly onNews: () => void;
}

/** Creates the follower of the operator's writing. */
export function createOperatorFollower(
  options: OperatorFollowerOptions,
): OperatorFollower {
  const {feed, clock, confirmation, log} = options;
  let table: RouteTable | undefined;
  let digest = servicesDigest([]);
  let askedAt: MonotonicInstant = -Infinity;
  let isNewestLost = false;
  let newestChange: Revision = 0;
  let heardChange: Revision = 0;
  /** Up to here the table is known. */
  let knownUntil: Revision = 0;
  const {bound} = options;
  const askAfter = bound * CONFIRMED_SHARE * (1 + ASK_SPREAD * options.spread);
  let wake = (): void => undefined;

  function take(reading: OperatorReading): void {
    const answeredAt = clock();
    const before = digest;
    let isNews = false;
    adoptConfiguration(reading);
    for (const {model, version} of reading.namedVersions) {
      const isNew = options.versions.name(model, version, answeredAt);
      if (isNew) log.info('version named', {model, version});
      isNews ||= isNew;
    }
    if (isNews || digest !== before) options.onNews();
    const {storeTime} = reading;
    // Failure: the newest configuration can't be read and takes a key away,
    // and the one before it counts as confirmed: the key is served for good.
    // Guard: nothing is confirmed until a newer one can be read.
    if (!isNewestLost) confirmation.record({askedAt, answeredAt, storeTime});
    newestChange = Math.max(newestChange, reading.newestChange);
    noteMoment({revision: reading.revision, newestChange, storeTime});
    options.onChange();
  }

  function noteMoment(moment: OperatorMoment): void {
    if (moment.revision < knownUntil) return;
    knownUntil = moment.revision;
    options.onMoment(moment);
  }

  /**
   * Failure: an entry takes its relay's word for a configuration that it has not
   * read, and serves a key that was taken away as confirmed. Guard: a moment
   * confirms what is held here only if the table's newest row is not newer than
   * what is known here, and by the store's clock, not by its arrival.
   */
  function hear(moment: OperatorMoment): void {
    heardChange = Math.max(heardChange, moment.newestChange);
    if (moment.newestChange > knownUntil) return wake();
    if (isNewestLost) return;
    confirmation.recordRelayed({
      heardAt: clock(),
      storeTime: moment.storeTime,
    });
    noteMoment(moment);
  }

  function confirmationAge(): Milliseconds {
    return clock() - (confirmation.confirmedAt() ?? -Infinity);
  }

  function mustAsk(): boolean {
    if (options.readsStore() || heardChange > knownUntil) return true;
    return sinceAnswer() >= askAfter || clock() - askedAt >= OWN_LOOK;
  }

  /** A configuration that can't be read is never confirmed, however often asked. */
  function sinceAnswer(): Milliseconds {
    return isNewestLost ? clock() - askedAt : confirmationAge();
  }

  async function untilMustAsk(signal: AbortSignal): Promise<void> {
    while (!mustAsk() && !signal.aborted) await untilHeardOrLooked(signal);
  }

  function untilHeardOrLooked(signal: AbortSignal): Promise<void> {
    return new Promise(resolve => {
      wake = resolve;
      void sleep(bound / LOOKS_IN_BOUND, signal).then(resolve);
    });
  }

  /** Who answers for the zone waits for news; others want to know at once. */
  function waitForChange(): Milliseconds {
    if (!options.readsStore()) return 0;
    // The store answers at once if the wait is no whole number.
    return Math.floor(bound * WAIT_SHARE);
  }

  async function follow(after: Revision, signal: AbortSignal) {
    await untilMustAsk(signal);
    const wait = waitForChange();
    return ask(() =>
      feed.follow(Math.max(after, knownUntil), wait, wait + ANSWER_SLACK),
    );
  }

  function adoptConfiguration({
    configuration,
    isConfigurationLost,
  }: OperatorReading): void {
    if (isConfigurationLost) isNewestLost = true;
    if (configuration === undefined) return;
    if (!isConfigurationLost) isNewestLost = false;
    // Failure: an answer that was held up brings an older configuration, and a
    // request is handled by a route that was dropped. Versions only grow here.
    if (configuration.version <= (table?.version ?? -Infinity)) return;
    table = createRouteTable(configuration);
    digest = servicesDigest(configuration.services);
    log.info('configuration in force', {
      version: configuration.version,
      routes: configuration.routes.length,
      workspaces: configuration.workspaces?.length,
    });
  }

  /** Notes when a question is asked, which is when the store looks or later. */
  function ask<Answer>(question: () => Answer): Answer {
    askedAt = clock();
    return question();
  }

  return {
    start: signal =>
      void runFeedLoop(
        {
          name: 'operator feed',
          log,
          readAll: () => ask(() => feed.readAll(ANSWER_SLACK)),
          follow: after => follow(after, signal),
          take,
          pause: failures =>
            Math.min(LONGEST_PAUSE, FIRST_PAUSE * 2 ** failures),
        },
        signal,
      ),
    hear,
    table: () => table,
    servicesDigest: () => digest,
  };
}
