import {
  createRetainedTargetList,
  type ListedTarget,
  type Milliseconds,
  type MonotonicInstant,
  type ServiceName,
  type StoreClock,
  type StoreAvailability,
  type StoreDistance,
  type TargetRegistry,
} from '@hibiscusbeam/core';
import {every, type Clock, type Log} from '@hibiscusbeam/daemon';
import {createEraLog} from '../link/era_log';
import {
  showsStoreUnavailable,
  storeCallOutcome,
} from '../link/store_call_outcome';
import {createUnusableRowLog} from '../link/unusable_row_log';
import type {StartupSource} from '../runtime/startup_log';
import type {Revision, TargetList, TargetReading, UnusableRow} from '../ports';

/**
 * Interval between reads of the list, as a share of the draining bound. Three
 * reads fit into the bound: one may be lost and the next one late. It also
 * drops a target sooner that was kept for a while after the store's return.
 */
const READ_PERIOD_SHARE = 0.3;

/**
 * Timeout of one read, as a share of the draining bound: what the interval
 * leaves of it, minus a little for what follows.
 *
 * Reads start by the clock, whether or not the one before has been answered,
 * and each may take the rest of the bound. When a configuration goes to all
 * processes of a region, answers of the store come a second late. With reads
 * given up after 0.6 s and repeated after a period, an entry learned 3.3 s
 * after the store that a target was leaving, and sent it requests after its
 * bound of 3 s.
 */
const READ_TIMEOUT_SHARE = 0.5;

/** How long lapsed targets may come back after the store's return. */
const LAPSED_RETURN_TIME: Milliseconds = 2_000;

/**
 * Maximum age of the relay's last reading, as a share of the draining bound,
 * before an entry reads the list itself: the relay's interval and a quarter of
 * it. With the delay of a check (0.1) and the longest read it stays within the
 * bound.
 */
const MAX_RELAYED_AGE_SHARE = 0.37;

/**
 * Factor by which an entry with a relay waits longer once a read has shown that
 * the store is unavailable: its relay keeps reading. Once the store is back,
 * the list is read within 0.78 of the bound even if the relay is lost too.
 */
const STORE_UNAVAILABLE_FACTOR = 2;

/**
 * Share of the delay that is added, by entry, so that not all read at the same
 * time.
 */
const READ_SPREAD_SHARE = 0.05;

/**
 * Heartbeats between two listings after which the store counts as having been
 * unavailable: a row lapses after three without one, and the last one of a
 * target came up to one before the store went away.
 */
const LAPSED_HEARTBEATS = 2;

/** Checks in a read interval for whether a read is due. */
const CHECKS_IN_PERIOD = 3;

/** A reading of the list of targets. */
export interface TargetListing {
  readonly revision: Revision;
  /** Number of times the store was restored from a copy. */
  readonly era: number;
  /** The store's own monotonic clock. */
  readonly storeTime: Milliseconds;
  /**
   * Targets as listed; each process decides itself which lapsed ones it keeps.
   */
  readonly targets: readonly ListedTarget[];
}

/** Dependencies of the target follower. */
export interface TargetFollowerOptions {
  readonly list: TargetList;
  readonly registry: TargetRegistry;
  readonly clock: Clock;
  /**
   * Clock that also counts while the machine is suspended, since relayed
   * readings age then too.
   */
  readonly machineClock: Clock;
  readonly storeClock: StoreClock;
  readonly storeDistance: StoreDistance;
  readonly storeAvailability: StoreAvailability;
  /** Whether no relay of the zone reads the list for this entry. */
  readonly readsStore: () => boolean;
  /**
   * Called for each listing, own or relayed, that is newer than those before.
   */
  readonly onListing: (listing: TargetListing, source: StartupSource) => void;
  /** Number in [0, 1) that differs by entry. */
  readonly spread: number;
  readonly log: Log;
  readonly draining: Milliseconds;
  readonly heartbeat: Milliseconds;
  /** Called with the targets in use, before the registry gets them. */
  readonly onTargets: (targets: readonly ListedTarget[]) => void;
  readonly onChange: () => void;
  /** Whether a service is configured; undefined before any configuration. */
  readonly isConfigured: (service: ServiceName) => boolean | undefined;
}

/** Follows the platform's list of targets. */
export interface TargetFollower {
  /** Reads the list now if a read is due. */
  readonly check: () => void;
  /** Applies a listing that the relay has sent. */
  readonly receive: (listing: TargetListing) => void;
  /**
   * Latest time at which the list is known to have been as it is held;
   * undefined before the first listing.
   */
  readonly listedAt: () => MonotonicInstant | undefined;
}

/** Keeps the registry in sync with the platform's list of targets. */
export function startTargetFollower(
  options: TargetFollowerOptions,
  signal: AbortSignal,
): TargetFollower {
  const {list, registry, clock, machineClock, log} = options;
  const memory = createRetainedTargetList({
    heartbeat: options.heartbeat,
    recoveryTime: LAPSED_RETURN_TIME,
  });
  const unusableRows = createUnusableRowLog('targets', log);
  const logEra = createEraLog('targets', log);
  const period = options.draining * READ_PERIOD_SHARE;
  const absence = options.heartbeat * LAPSED_HEARTBEATS;
  const checkPeriod = period / CHECKS_IN_PERIOD;
  const relayedBound =
    options.draining *
    MAX_RELAYED_AGE_SHARE *
    (1 + READ_SPREAD_SHARE * options.spread);
  let loggedTargets = new Map<string, string>();
  let lost = false;
  /** According to the last own read. */
  let isStoreDown = false;
  let newestRevision: Revision = -Infinity;
  /** Of the last listing that could not be applied. */
  let unappliedRevision: Revision | undefined;
  let era: number | undefined;
  let lastReadAt: MonotonicInstant = -Infinity;
  const startedAt = machineClock();
  /**
   * Latest time at which the list is known to have been like this, from relayed
   * readings. A relay has as long for the first one as for any other.
   */
  let relayedAt: MonotonicInstant = startedAt;
  /** The same from any reading. */
  let listedAt: MonotonicInstant | undefined;

  async function read(): Promise<void> {
    const sentAt = machineClock();
    lastReadAt = sentAt;
    const reply = await list.read(options.draining * READ_TIMEOUT_SHARE);
    if (signal.aborted) return;
    const outcome = storeCallOutcome(reply);
    isStoreDown = showsStoreUnavailable(outcome);
    options.storeAvailability.record(sentAt, outcome);
    if (reply.err) memory.recordFailure(clock());
    else {
      logEra(reply.val);
      const answeredAt = machineClock();
      options.storeClock.record({
        askedAt: sentAt,
        answeredAt,
        storeTime: reply.val.storeTime,
      });
      options.storeDistance.record(answeredAt - sentAt);
      if (reply.val.revision >= newestRevision) take(reply.val, sentAt);
    }
    logAvailability(reply.err, reply.ok ? undefined : reply.val);
  }

  /** Starts reads by the clock, whether or not the one before is answered. */
  function readIfDue(): void {
    const now = machineClock();
    // A check that runs a little early counts, so that reads don't drift.
    if (now - lastReadAt < period - checkPeriod / 2) return;
    if (options.readsStore()) return void read();
    if (now - relayedAt < relayedBound) return;
    const pause = isStoreDown ? relayedBound * STORE_UNAVAILABLE_FACTOR : 0;
    if (now - lastReadAt >= pause) void read();
  }

  /**
   * Applies a listing of a relay. Its age is taken from the store's clock at
   * its reading, which the answers to this entry's own reads relate to the
   * local clock. Otherwise, if the relay is frozen or its updates are delayed
   * on their way, an entry would take an old list for a new one and send
   * requests to a target that has left.
   */
  function receive(listing: TargetListing): void {
    const readAt = options.storeClock.localTimeLowerBound(listing.storeTime);
    if (readAt === undefined || listing.revision < newestRevision) return;
    const provenAt = Math.min(machineClock(), readAt);
    if (provenAt - (listedAt ?? startedAt) >= absence) {
      memory.recordFailure(clock() - absence);
    }
    relayedAt = Math.max(relayedAt, provenAt);
    applyListing(listing, provenAt, 'entry');
  }

  function take(reading: TargetReading, sentAt: MonotonicInstant): void {
    unusableRows.record([...reading.unusable, ...unconfiguredRows(reading)]);
    const {revision, era, storeTime, targets} = reading;
    applyListing({revision, era, storeTime, targets}, sentAt, 'store');
  }

  function applyListing(
    listing: TargetListing,
    provenAt: MonotonicInstant,
    source: StartupSource,
  ): void {
    if (era !== undefined && listing.era > era) memory.recordRestore(clock());
    era = listing.era;
    const listedBefore = listedAt;
    listedAt = Math.max(listedAt ?? provenAt, provenAt);
    try {
      useListing(listing, source);
      newestRevision = listing.revision;
    } catch (error) {
      listedAt = listedBefore;
      logUnapplied(listing.revision, error);
    }
  }

  function useListing(listing: TargetListing, source: StartupSource): void {
    options.onListing(listing, source);
    const targets = memory.update(listing.targets, clock());
    options.onTargets(targets);
    registry.list(targets, clock());
    logChanges(targets);
    options.onChange();
  }

  /**
   * A row that passes the checks and still can't be used must not end the
   * process, nor the following of the list.
   */
  function logUnapplied(revision: Revision, error: unknown): void {
    if (unappliedRevision === revision) return;
    unappliedRevision = revision;
    log.error('list of targets not applied', {revision, error});
  }

  /** Targets of services that no route can use, reported like unusable rows. */
  function unconfiguredRows(reading: TargetReading): readonly UnusableRow[] {
    return reading.targets
      .filter(({service}) => options.isConfigured(service) === false)
      .map(({instance, service}) => ({
        key: instance,
        // The same for all its revisions, so that it is reported once.
        revision: 0,
        reason: `service ${service} is not configured`,
      }));
  }

  function logAvailability(nowLost: boolean, error: unknown): void {
    if (nowLost === lost) return;
    lost = nowLost;
    if (lost) log.warn('list of targets lost', {error});
    else log.info('list of targets regained');
  }

  function logChanges(targets: Parameters<TargetRegistry['list']>[0]): void {
    const next = new Map(
      targets.map(target => [
        target.instance,
        `${target.service} ${target.address} ${target.leaving ? 'leaving' : 'ready'}`,
      ]),
    );
    for (const [instance, line] of next) {
      if (loggedTargets.get(instance) !== line) {
        log.info('target', {instance, line});
      }
    }
    for (const instance of loggedTargets.keys()) {
      if (!next.has(instance)) log.info('target gone', {instance});
    }
    loggedTargets = next;
  }

  readIfDue();
  signal.addEventListener('abort', every(checkPeriod, readIfDue));
  return {check: readIfDue, receive, listedAt: () => listedAt};
}
