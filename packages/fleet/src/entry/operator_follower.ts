import {
  createConfirmation,
  type Confirmation,
  type EvacuatedZone,
  type Milliseconds,
  type MonotonicInstant,
  type NamedVersions,
  type RouteTable,
  type StoreClock,
  type StoreAvailability,
} from '@hibiscusbeam/core';
import {sleep, type Clock, type Log} from '@hibiscusbeam/daemon';
import type {ConfigurationCopy} from '@hibiscusbeam/wire';
import type {Result} from 'ts-results';
import type {ConfigurationCopies} from '../link/configuration_copies';
import {requestWithHedge} from '../link/hedged_request';
import {runFeedLoop, type ReadingScope} from '../link/feed_loop';
import {
  showsStoreUnavailable,
  storeCallOutcome,
} from '../link/store_call_outcome';
import type {
  HostError,
  NamedVersion,
  OperatorFeed,
  OperatorReading,
  Revision,
} from '../ports';
import type {EvacuationMonitor} from './evacuation_monitor';
import {createHeldConfiguration} from './held_configuration';

/**
 * How long one question waits for a change, as a share of the bound in which a
 * configuration must be in force. Each question costs a call; the followers of a
 * relay know by each answer that nothing was written.
 */
const QUERY_WAIT_SHARE = 0.2;

/**
 * Time beyond its wait after which a question is asked once more beside the one
 * without an answer, as a share of the same bound.
 *
 * Failure: 40 entries start at once, the store is slow, and an answer is lost. The
 * next question comes 1.4 s after the last answer and waits for news for 0.4 s: at
 * 100 ms to the store, a configuration is outdated at 1.9 s of its bound of 2 s.
 * Guard: the second question, and each one after a failure, waits for nothing.
 */
const HEDGE_DELAY_SHARE = 0.2;

/**
 * Age of the last confirmation, as a share of the same bound, after which an entry
 * with a relay asks the store itself: twice the reader's waits.
 *
 * Failure: an answer to the relay is lost, and none of its zone hears of a new
 * configuration until the relay has given the question up. Asked after 2.6 s, the
 * store told a follower of it 0.6 s after its bound of 2 s. Guard: half of the
 * bound is left for the own question.
 */
const MAX_CONFIRMATION_AGE_SHARE = 0.4;

/**
 * The same for a relay to which another zone's relay tells the table: sooner, so
 * that its followers hear of its own reading before each of them asks.
 */
const MAX_RELAY_CONFIRMATION_AGE_SHARE = 0.3;

/**
 * Shortest time between two readings that bring a configuration, as a share of the
 * same bound. Changes that come more often are read together: to read, pass on and
 * adopt one of 1,650 routes takes some 30 ms of a core, and it must be in force in
 * the bound only.
 */
const MIN_READ_INTERVAL_SHARE = 0.06;

/**
 * Times of that after which an entry with a relay asks again once a question has
 * shown that the store is away. Its relay asks meanwhile, and tells of its readings
 * once the store is back.
 *
 * Failure: the store is away for 8 s, and each of 43 entries asks it for the table
 * twice a second.
 */
const STORE_UNAVAILABLE_FACTOR = 2;

/** Share of that which is added, by entry, so that not all ask at once. */
const QUERY_SPREAD_SHARE = 0.1;

/** Looks within the bound at whether the store has to be asked. */
const CHECKS_IN_BOUND = 20;

/**
 * Period in which an entry with a relay asks the store all the same: by the
 * answers it knows what the store's clock, as its relay tells it, means here.
 */
const OWN_QUERY_PERIOD: Milliseconds = 20_000;

/** Time beyond the wait after which a question counts as lost. */
const ANSWER_SLACK: Milliseconds = 800;

/**
 * Time after which a version's naming is recorded by whoever still reads the
 * table for the site: after a start it takes that long to find a relay.
 */
const NAMING_RECORD_DELAY: Milliseconds = 500;

/** Pauses after failed questions, from the first to the longest. */
const MIN_RETRY_PAUSE: Milliseconds = 100;
const MAX_RETRY_PAUSE: Milliseconds = 500;

/** Who reads the operator's table for an entry. */
export type TableSource =
  /** The entry itself. */
  | 'store'
  /** The relay of another zone, for a relay. */
  | 'siteReader'
  /** The relay of the own zone. */
  | 'zoneRelay';

/** The operator's table at a reading, without its rows. */
export interface OperatorMoment {
  /** The store's revision. */
  readonly revision: Revision;
  /** Revision of the table's newest row. */
  readonly newestChange: Revision;
  /** The store's own steady clock. */
  readonly storeTime: Milliseconds;
  /** Of the newest configuration; 0 if there is none, or it can't be read. */
  readonly configurationRevision: Revision;
  /** Zones whose targets are to get nothing; all of them. */
  readonly evacuatedZones: readonly EvacuatedZone[];
}

/** What the operator wants, as far as this process knows. */
export interface OperatorFollower {
  readonly start: (signal: AbortSignal) => void;
  /**
   * Takes a reading of a relay, with the configuration if it was not told before.
   * Versions that the relay knows are named before.
   */
  readonly receive: (
    moment: OperatorMoment,
    configuration?: ConfigurationCopy,
  ) => void;
  /** The newest configuration; undefined until one was read. */
  readonly table: () => RouteTable | undefined;
  /** Digest of the configured services; of none before the first. */
  readonly servicesDigest: () => number;
  /**
   * The latest moment at which the evacuations were surely as they are held, also
   * while the newest configuration can't be read; undefined before a reading.
   */
  readonly evacuationsReadAt: () => MonotonicInstant | undefined;
}

/** What a follower needs. */
export interface OperatorFollowerOptions {
  readonly feed: OperatorFeed;
  readonly clock: Clock;
  readonly confirmation: Confirmation;
  readonly storeClock: StoreClock;
  readonly storeContact: StoreAvailability;
  readonly versions: NamedVersions;
  readonly copies: ConfigurationCopies;
  readonly evacuations: EvacuationMonitor;
  readonly log: Log;
  readonly onChange: () => void;
  /** Time from a configuration's writing until it must be in force. */
  readonly bound: Milliseconds;
  readonly source: () => TableSource;
  /** Told of each reading, own or heard, that is newer than those before. */
  readonly onReading: (moment: OperatorMoment) => void;
  /** Number in [0, 1) that differs by entry. */
  readonly spread: number;
  /** Told of a version that is new, and of other services. */
  readonly onVersionsOrServices: () => void;
  /** Told when a newer configuration is held. */
  readonly onConfiguration: () => void;
}

/** A reading, and when its question was asked. */
interface TimedReading extends OperatorReading {
  readonly askedAt: MonotonicInstant;
}

/** Creates the follower of the operator's writing. */
export function createOperatorFollower(
  options: OperatorFollowerOptions,
): OperatorFollower {
  const {feed, clock, confirmation, evacuations, log, bound} = options;
  const held = createHeldConfiguration({
    copies: options.copies,
    decode: feed.decode,
    log,
    onAdopted: () => {
      adoptedAt = clock();
      options.onConfiguration();
    },
  });
  const evacuationConfirmation = createConfirmation(options.storeClock);
  let askedAt: MonotonicInstant = -Infinity;
  let adoptedAt: MonotonicInstant = -Infinity;
  let newestChange: Revision = 0;
  let relayedChange: Revision = 0;
  /** Up to here the table is known. */
  let knownUntil: Revision = 0;
  /** By the last own question. */
  let isStoreAway = false;
  let wake = (): void => undefined;

  function take(
    {askedAt, ...reading}: TimedReading,
    scope: ReadingScope,
  ): void {
    const answeredAt = clock();
    const before = held.servicesDigest();
    let hasUpdate = false;
    // Before the configuration, so that no request goes by it without them.
    evacuations.take(reading, scope);
    held.takeReading(reading);
    for (const {model, version, namedAt} of reading.namedVersions) {
      // An answer may be late, and a version's bound counts from its naming.
      const storeTime = namedAt ?? reading.storeTime;
      const lookedAt = options.storeClock.localTimeLowerBound(storeTime);
      const knownSince = Math.min(answeredAt, lookedAt ?? answeredAt);
      const isNew = options.versions.name(model, version, knownSince);
      if (isNew) log.info('version named', {model, version, namedAt});
      if (isNew && namedAt === undefined) {
        recordNamingSoon({model, version, namedAt: storeTime});
      }
      hasUpdate ||= isNew;
    }
    if (hasUpdate || held.servicesDigest() !== before) {
      options.onVersionsOrServices();
    }
    const {storeTime} = reading;
    evacuationConfirmation.record({askedAt, answeredAt, storeTime});
    // Failure: the newest configuration can't be read and takes a key away,
    // and the one before it counts as confirmed: the key is served for good.
    // Guard: nothing is confirmed until a newer one can be read.
    if (!held.isNewestUnreadable()) {
      confirmation.record({askedAt, answeredAt, storeTime});
    }
    newestChange = Math.max(newestChange, reading.newestChange);
    reportReading({
      revision: reading.revision,
      newestChange,
      storeTime,
      configurationRevision: held.revision(),
      evacuatedZones: evacuations.zones(),
    });
    options.onChange();
  }

  /**
   * Failure: all processes of a site start anew, and each counts a version's bound
   * from its own first look: engines get requests for the older version for
   * seconds after it. Guard: the entry that reads the operator's table for the
   * site records when it first read the name.
   */
  function recordNamingSoon(named: NamedVersion): void {
    setTimeout(() => {
      if (options.source() !== 'store') return;
      void feed.recordNaming(named, ANSWER_SLACK).then(reply => {
        if (reply.err) log.warn('naming not recorded', {error: reply.val});
      });
    }, NAMING_RECORD_DELAY);
  }

  function reportReading(moment: OperatorMoment): void {
    if (moment.revision < knownUntil) return;
    knownUntil = moment.revision;
    options.onReading(moment);
  }

  /**
   * Failure: an entry takes its relay's word for a configuration that it does not
   * hold, and serves a key that was taken away as confirmed. Guard: a moment
   * confirms what is held here only if the table's newest row is not newer than
   * what is known here, or the table's configuration is the one that is held; and
   * by the store's clock, not by its arrival.
   */
  function receive(moment: OperatorMoment, copy?: ConfigurationCopy): void {
    relayedChange = Math.max(relayedChange, moment.newestChange);
    evacuations.receive(moment);
    evacuationConfirmation.recordRelayed({
      receivedAt: clock(),
      storeTime: moment.storeTime,
    });
    if (copy !== undefined) takeCopy(copy);
    if (moment.newestChange > knownUntil && !holdsNewest(moment)) return wake();
    if (held.isNewestUnreadable()) return;
    confirmation.recordRelayed({
      receivedAt: clock(),
      storeTime: moment.storeTime,
    });
    reportReading(moment);
  }

  function takeCopy(copy: ConfigurationCopy): void {
    const before = held.servicesDigest();
    held.takeCopy(copy);
    if (held.servicesDigest() !== before) options.onVersionsOrServices();
    options.onChange();
  }

  function holdsNewest({configurationRevision}: OperatorMoment): boolean {
    return (
      configurationRevision !== 0 && configurationRevision === held.revision()
    );
  }

  function confirmationAge(): Milliseconds {
    return clock() - (confirmation.confirmedAt() ?? -Infinity);
  }

  function mustQuery(): boolean {
    const source = options.source();
    if (source === 'store' || relayedChange > knownUntil) return true;
    if (isStoreAway && source === 'zoneRelay') {
      return clock() - askedAt >= queryAfter(source) * STORE_UNAVAILABLE_FACTOR;
    }
    return (
      sinceAnswer() >= queryAfter(source) ||
      clock() - askedAt >= OWN_QUERY_PERIOD
    );
  }

  function queryAfter(source: TableSource): Milliseconds {
    const isRelay = source === 'siteReader';
    const share = isRelay
      ? MAX_RELAY_CONFIRMATION_AGE_SHARE
      : MAX_CONFIRMATION_AGE_SHARE;
    return bound * share * (1 + QUERY_SPREAD_SHARE * options.spread);
  }

  /** A configuration that can't be read is never confirmed, however often asked. */
  function sinceAnswer(): Milliseconds {
    return held.isNewestUnreadable() ? clock() - askedAt : confirmationAge();
  }

  async function untilMustQuery(signal: AbortSignal): Promise<void> {
    while (!mustQuery() && !signal.aborted) await untilWokenOrChecked(signal);
  }

  function untilWokenOrChecked(signal: AbortSignal): Promise<void> {
    return new Promise(resolve => {
      wake = resolve;
      void sleep(bound / CHECKS_IN_BOUND, signal).then(resolve);
    });
  }

  /** Who answers for the zone waits for news; others want to know at once. */
  function waitForChange(): Milliseconds {
    if (options.source() !== 'store' || isRenewalDue()) return 0;
    // The store answers at once if the wait is no whole number.
    return Math.floor(bound * QUERY_WAIT_SHARE);
  }

  /** Whether the last answer is too old for a question that waits for news. */
  function isRenewalDue(): boolean {
    return (
      !held.isNewestUnreadable() && confirmationAge() > bound * QUERY_WAIT_SHARE
    );
  }

  async function follow(after: Revision, signal: AbortSignal) {
    await untilMustQuery(signal);
    await untilIntervalPassed(signal);
    const wait = waitForChange();
    const query = (wait: Milliseconds) => () =>
      sendQuery(() =>
        feed.follow(Math.max(after, knownUntil), wait, wait + ANSWER_SLACK),
      );
    return requestWithHedge({
      first: query(wait),
      hedge: query(0),
      hedgeDelay: wait + bound * HEDGE_DELAY_SHARE,
      // What is held counts in any case while the store is away.
      isHedgeWanted: () =>
        !options.storeContact.isUnavailableSince(
          confirmation.confirmedAt() ?? -Infinity,
        ),
    });
  }

  async function untilIntervalPassed(signal: AbortSignal): Promise<void> {
    const left = adoptedAt + bound * MIN_READ_INTERVAL_SHARE - clock();
    if (left > 0) await sleep(left, signal);
  }

  /** Notes when a question is asked, which is when the store looks or later. */
  async function sendQuery(
    query: () => Promise<Result<OperatorReading, HostError>>,
  ): Promise<Result<TimedReading, HostError>> {
    const sentAt = clock();
    askedAt = sentAt;
    const reply = await query();
    const sign = storeCallOutcome(reply);
    isStoreAway = showsStoreUnavailable(sign);
    options.storeContact.record(sentAt, sign);
    return reply.map(reading => ({...reading, askedAt: sentAt}));
  }

  return {
    start: signal =>
      void runFeedLoop(
        {
          name: 'operator feed',
          log,
          readAll: () => sendQuery(() => feed.readAll(ANSWER_SLACK)),
          follow: after => follow(after, signal),
          onReading: take,
          pause: (failures, aborted) =>
            sleep(
              Math.min(MAX_RETRY_PAUSE, MIN_RETRY_PAUSE * 2 ** failures),
              aborted,
            ),
        },
        signal,
      ),
    receive,
    table: held.table,
    servicesDigest: held.servicesDigest,
    evacuationsReadAt: evacuationConfirmation.confirmedAt,
  };
}
