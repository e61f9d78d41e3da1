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
import type {StartupSource} from '../runtime/startup_log';
import type {EvacuationMonitor} from './evacuation_monitor';
import {createHeldConfiguration} from './held_configuration';
import {createNamingRecorder} from './naming_recorder';

/**
 * How long one query waits for a change, as a share of the bound within which a
 * configuration must be in force. Each query costs a call; each answer shows
 * the followers of a relay that nothing was written.
 */
const QUERY_WAIT_SHARE = 0.2;

/**
 * Delay beyond its wait after which a query is hedged by a second one, as a
 * share of the same bound.
 *
 * When 40 entries start at once, the store is slow and an answer may be lost.
 * The next query would come 1.4 s after the last answer and wait for changes
 * for 0.4 s: at 100 ms to the store, a configuration would be outdated at 1.9 s
 * of its bound of 2 s. So the hedge, and each query after a failure, waits for
 * nothing.
 */
const HEDGE_DELAY_SHARE = 0.2;

/**
 * Age of the last confirmation, as a share of the same bound, after which an
 * entry with a relay queries the store itself: twice the wait of the reader.
 *
 * If an answer to the relay is lost, its whole zone misses a new configuration
 * until the relay gives the query up. With queries after 2.6 s, a follower
 * received a configuration 0.6 s after its bound of 2 s. This share leaves half
 * of the bound for the entry's own query.
 */
const MAX_CONFIRMATION_AGE_SHARE = 0.4;

/**
 * The same for a relay that gets the table from another zone's relay: sooner,
 * so that its followers receive its own reading before each of them queries the
 * store.
 */
const MAX_RELAY_CONFIRMATION_AGE_SHARE = 0.3;

/**
 * Minimum time between two readings that contain a configuration, as a share of
 * the same bound. More frequent changes are read together: reading, relaying
 * and adopting a configuration of 1,650 routes takes some 30 ms of a core, and
 * it only has to be in force within the bound.
 */
const MIN_READ_INTERVAL_SHARE = 0.06;

/**
 * Factor by which an entry with a relay waits longer once a query has shown
 * that the store is unavailable. Its relay keeps querying, and relays its
 * readings once the store is back.
 *
 * Otherwise, while the store is unavailable for 8 s, each of 43 entries queries
 * it for the table twice a second.
 */
const STORE_UNAVAILABLE_FACTOR = 2;

/**
 * Share of the delay that is added, by entry, so that not all query at the same
 * time.
 */
const QUERY_SPREAD_SHARE = 0.1;

/** Checks within the bound for whether the store must be queried. */
const CHECKS_IN_BOUND = 20;

/**
 * Interval at which an entry with a relay still queries the store: its answers
 * relate the store's clock, which relayed readings refer to, to the local one.
 */
const OWN_QUERY_PERIOD: Milliseconds = 20_000;

/** Time beyond the wait after which a query counts as lost. */
const ANSWER_SLACK: Milliseconds = 800;

/** The version that a model has before any is named. */
const FIRST_VERSION = 1;

/** Pauses after failed queries, from the first to the longest. */
const MIN_RETRY_PAUSE: Milliseconds = 100;
const MAX_RETRY_PAUSE: Milliseconds = 500;

/** Where an entry gets the operator's table from. */
export type TableSource =
  /** Not known yet: the entry is starting and looks for its zone's relay. */
  | 'undecided'
  /** The entry itself. */
  | 'store'
  /** The relay of another zone, for a relay. */
  | 'siteReader'
  /** The relay of the own zone. */
  | 'zoneRelay';

/** Metadata of a reading of the operator's table, without its rows. */
export interface OperatorMoment {
  /** The store's revision. */
  readonly revision: Revision;
  /** Revision of the table's newest row. */
  readonly newestChange: Revision;
  /** The store's own monotonic clock. */
  readonly storeTime: Milliseconds;
  /**
   * Revision of the newest configuration; 0 if there is none or it is
   * unreadable.
   */
  readonly configurationRevision: Revision;
  /** All zones whose targets must not be sent requests. */
  readonly evacuatedZones: readonly EvacuatedZone[];
}

/**
 * The operator's configuration and evacuations, as far as this process knows
 * them.
 */
export interface OperatorFollower {
  readonly start: (signal: AbortSignal) => void;
  /** Checks at once whether the store must be queried. */
  readonly wake: () => void;
  /**
   * Applies a reading of a relay, with the configuration if it wasn't sent
   * before. Versions that the relay knows must have been named before.
   */
  readonly receive: (
    moment: OperatorMoment,
    configuration?: ConfigurationCopy,
  ) => void;
  /** Routes of the newest configuration; undefined until one was read. */
  readonly table: () => RouteTable | undefined;
  /** Revision up to which the table is known; 0 before a reading. */
  readonly knownUntil: () => Revision;
  /**
   * Digest of the configured services; of an empty list before the first
   * configuration.
   */
  readonly servicesDigest: () => number;
  /**
   * Latest time at which the evacuations are known to have been as they are
   * held, even while the newest configuration is unreadable; undefined before a
   * reading.
   */
  readonly evacuationsReadAt: () => MonotonicInstant | undefined;
}

/** Dependencies of the operator follower. */
export interface OperatorFollowerOptions {
  readonly feed: OperatorFeed;
  readonly clock: Clock;
  readonly confirmation: Confirmation;
  readonly storeClock: StoreClock;
  readonly storeAvailability: StoreAvailability;
  readonly versions: NamedVersions;
  readonly copies: ConfigurationCopies;
  readonly evacuations: EvacuationMonitor;
  readonly log: Log;
  readonly onChange: () => void;
  /** Time from a configuration's writing until it must be in force. */
  readonly bound: Milliseconds;
  readonly source: () => TableSource;
  /**
   * How long a starting entry waits for a reading of its relay before it reads
   * the whole table itself.
   */
  readonly maxRelayWait: Milliseconds;
  /**
   * Called for each reading, own or relayed, that is newer than those before.
   */
  readonly onReading: (moment: OperatorMoment) => void;
  /** Number in [0, 1) that differs by entry. */
  readonly spread: number;
  /** Called when a version is new, or the services have changed. */
  readonly onVersionsOrServices: () => void;
  /** Called when a newer configuration has been adopted. */
  readonly onConfiguration: (source: StartupSource) => void;
}

/** A reading, and when its query was sent. */
interface TimedReading extends OperatorReading {
  readonly askedAt: MonotonicInstant;
}

/** Creates the follower of the operator's table. */
export function createOperatorFollower(
  options: OperatorFollowerOptions,
): OperatorFollower {
  const {feed, clock, confirmation, evacuations, log, bound} = options;
  const held = createHeldConfiguration({
    copies: options.copies,
    decode: feed.decode,
    log,
    onAdopted: source => {
      adoptedAt = clock();
      options.onConfiguration(source);
    },
  });
  const namings = createNamingRecorder({
    feed,
    log,
    isReader: () => options.source() === 'store',
  });
  const evacuationConfirmation = createConfirmation(options.storeClock);
  const startedAt = clock();
  let queryAt: MonotonicInstant = -Infinity;
  let adoptedAt: MonotonicInstant = -Infinity;
  let newestChange: Revision = 0;
  let relayedChange: Revision = 0;
  /** Revision up to which the table is known. */
  let knownUntil: Revision = 0;
  /** Whether the last copy of a relay can't be used here. */
  let isCopyUnusable = false;
  /** According to the last own query. */
  let isStoreDown = false;
  let wake = (): void => undefined;

  function take(
    {askedAt, ...reading}: TimedReading,
    scope: ReadingScope,
  ): void {
    const answeredAt = clock();
    const before = held.servicesDigest();
    let hasUpdate = false;
    // Applied before the configuration, so that no request uses it without the
    // evacuations.
    evacuations.take(reading, scope);
    held.takeReading(reading);
    nameSkippedVersions(reading.namedVersions);
    for (const {model, version, namedAt} of reading.namedVersions) {
      // An answer may be late, while a version's bound counts from its naming.
      const storeTime = namedAt ?? reading.storeTime;
      const readAt = options.storeClock.localTimeLowerBound(storeTime);
      const knownSince = Math.min(answeredAt, readAt ?? answeredAt);
      const isNew = options.versions.name(model, version, knownSince);
      if (isNew) log.info('version named', {model, version, namedAt});
      if (isNew && namedAt === undefined) {
        namings.record({model, version, namedAt: storeTime}, scope);
      }
      hasUpdate ||= isNew;
    }
    if (hasUpdate || held.servicesDigest() !== before) {
      options.onVersionsOrServices();
    }
    const {storeTime} = reading;
    evacuationConfirmation.record({askedAt, answeredAt, storeTime});
    // While the newest configuration is unreadable, nothing is confirmed until
    // a newer one can be read. It may revoke a key, which would be accepted
    // forever if the configuration before it counted as confirmed.
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
   * Names versions that were replaced before they were read, as of the reading
   * before. Otherwise, if two versions are named while the link to the store is
   * saturated, the first one would have no bound, and engines would get requests
   * for the version before it until the bound of the second one.
   */
  function nameSkippedVersions(named: readonly NamedVersion[]): void {
    const since = confirmation.confirmedAt();
    if (since === undefined) return;
    const {versions} = options;
    const skipped = named
      .map(({model, version}) => ({model, version: version - 1}))
      .filter(
        ({model, version}) =>
          version > (versions.newest(model) ?? FIRST_VERSION),
      );
    for (const {model, version} of skipped) {
      versions.name(model, version, since);
      log.info('version replaced before it was read', {model, version});
      const namedAt = options.storeClock.storeTimeAt(since);
      if (namedAt === undefined) continue;
      namings.record({model, version, namedAt}, 'changes');
    }
  }

  function reportReading(moment: OperatorMoment): void {
    if (moment.revision < knownUntil) return;
    knownUntil = moment.revision;
    options.onReading(moment);
  }

  /**
   * Applies a reading of a relay. It only confirms what is held here if the
   * table's newest row isn't newer than what is known here, or if the table's
   * configuration is the one that is held; and its age is taken from the
   * store's clock, not from its arrival. Otherwise an entry would take its
   * relay's word for a configuration that it doesn't hold, and accept a revoked
   * key as confirmed.
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
    isCopyUnusable = held.revision() < copy.revision;
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
    if (isStoreDown && source === 'zoneRelay') {
      return clock() - queryAt >= queryAfter(source) * STORE_UNAVAILABLE_FACTOR;
    }
    return (
      sinceAnswer() >= queryAfter(source) ||
      clock() - queryAt >= OWN_QUERY_PERIOD
    );
  }

  function queryAfter(source: TableSource): Milliseconds {
    const isRelay = source === 'siteReader';
    const share = isRelay
      ? MAX_RELAY_CONFIRMATION_AGE_SHARE
      : MAX_CONFIRMATION_AGE_SHARE;
    return bound * share * (1 + QUERY_SPREAD_SHARE * options.spread);
  }

  /**
   * An unreadable configuration is never confirmed, however often the store is
   * queried.
   */
  function sinceAnswer(): Milliseconds {
    return held.isNewestUnreadable() ? clock() - queryAt : confirmationAge();
  }

  /**
   * Waits at the start for a reading of the relay. Reads of the whole table by
   * all entries of a region would saturate its link and time out together.
   */
  async function awaitRelayedReading(
    signal: AbortSignal,
  ): Promise<Revision | undefined> {
    while (isRelayedReadingDue() && !signal.aborted) {
      await untilWokenOrChecked(signal);
    }
    return knownUntil > 0 ? knownUntil : undefined;
  }

  function isRelayedReadingDue(): boolean {
    if (knownUntil > 0 || isCopyUnusable) return false;
    if (options.source() === 'store') return false;
    return clock() - startedAt < options.maxRelayWait;
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

  /**
   * The entry that reads for the zone waits for changes; others need an answer
   * at once.
   */
  function waitForChange(): Milliseconds {
    if (options.source() !== 'store' || isRenewalDue()) return 0;
    // The store doesn't wait if the time isn't a whole number.
    return Math.floor(bound * QUERY_WAIT_SHARE);
  }

  /** Whether the last answer is too old for a query that waits for changes. */
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
      // While the store is unavailable, what is held counts in any case.
      isHedgeWanted: () =>
        !options.storeAvailability.isUnavailableSince(
          confirmation.confirmedAt() ?? -Infinity,
        ),
    });
  }

  async function untilIntervalPassed(signal: AbortSignal): Promise<void> {
    const left = adoptedAt + bound * MIN_READ_INTERVAL_SHARE - clock();
    if (left > 0) await sleep(left, signal);
  }

  /** Records when a query is sent: the store reads at that time or later. */
  async function sendQuery(
    query: () => Promise<Result<OperatorReading, HostError>>,
  ): Promise<Result<TimedReading, HostError>> {
    const sentAt = clock();
    queryAt = sentAt;
    const reply = await query();
    const outcome = storeCallOutcome(reply);
    isStoreDown = showsStoreUnavailable(outcome);
    options.storeAvailability.record(sentAt, outcome);
    return reply.map(reading => ({...reading, askedAt: sentAt}));
  }

  return {
    start: signal =>
      void runFeedLoop(
        {
          name: 'operator feed',
          log,
          awaitFirst: awaitRelayedReading,
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
    wake: () => wake(),
    knownUntil: () => knownUntil,
    table: held.table,
    servicesDigest: held.servicesDigest,
    evacuationsReadAt: evacuationConfirmation.confirmedAt,
  };
}
