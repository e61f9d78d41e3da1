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
import type {Revision, TargetList, TargetReading, UnusableRow} from '../ports';

/**
 * Share of the draining bound after which the list is read again. Three reads fit
 * into the bound: one may be lost and the next one late, and a target that was
 * kept for a while after the store's return is dropped sooner.
 */
const READ_PERIOD_SHARE = 0.3;

/**
 * Longest time for one read, as a share of the draining bound: what the period
 * leaves of it, less a little for what follows.
 *
 * Failure: a configuration goes to all processes of a region, and answers of the
 * store come a second late. Given up after 0.6 s and asked anew after a period,
 * an entry learned of a target's leaving 3.3 s after the store had, and sent it
 * requests after its bound of 3 s. Guard: reads begin by the clock, whether or
 * not the one before has been answered, and each may take what is left.
 */
const READ_TIMEOUT_SHARE = 0.5;

/** How long after the store's return lapsed targets may come back. */
const LAPSED_RETURN_TIME: Milliseconds = 2_000;

/**
 * Share of the draining bound by which the relay's last look at the store may lie
 * back before an entry reads the list itself: the relay's period and a quarter of
 * it. With a look's delay (0.1) and the longest read it stays within the bound.
 */
const MAX_RELAYED_AGE_SHARE = 0.37;

/**
 * Times of that after which an entry with a relay reads again once a read has shown
 * that the store is away: its relay reads meanwhile. Once the store is back, the list is read
 * within 0.78 of the bound even if the relay is lost too.
 */
const STORE_UNAVAILABLE_FACTOR = 2;

/** Share of that which is added, by entry, so that not all read at once. */
const READ_SPREAD_SHARE = 0.05;

/**
 * Heartbeats between two listings after which the store counts as having been
 * away: a line lapses after three without one, and the last of a target came up
 * to one before the store went.
 */
const LAPSED_HEARTBEATS = 2;

/** Looks in a reading period at whether a read is due. */
const CHECKS_IN_PERIOD = 3;

/** The targets at a reading of the list. */
export interface TargetListing {
  readonly revision: Revision;
  /** How often the store had come back from a copy. */
  readonly era: number;
  /** The store's own steady clock. */
  readonly storeTime: Milliseconds;
  /** As they were listed; each process knows itself which may come back. */
  readonly targets: readonly ListedTarget[];
}

/** What a follower of the list needs. */
export interface TargetFollowerOptions {
  readonly list: TargetList;
  readonly registry: TargetRegistry;
  readonly clock: Clock;
  /** Counts suspensions, in which what a relay has told grows old too. */
  readonly machineClock: Clock;
  readonly storeClock: StoreClock;
  readonly storeDistance: StoreDistance;
  readonly storeContact: StoreAvailability;
  /** Whether no relay of the zone reads the list for this entry. */
  readonly readsStore: () => boolean;
  /** Told of each listing, own or heard, that is newer than those before. */
  readonly onListing: (listing: TargetListing) => void;
  /** Number in [0, 1) that differs by entry. */
  readonly spread: number;
  readonly log: Log;
  readonly draining: Milliseconds;
  readonly heartbeat: Milliseconds;
  /** Told of the targets to go by, before the book is. */
  readonly onTargets: (targets: readonly ListedTarget[]) => void;
  readonly onChange: () => void;
  /** Whether a service is configured; undefined before any configuration. */
  readonly isConfigured: (service: ServiceName) => boolean | undefined;
}

/** Follows the platform's list of targets. */
export interface TargetFollower {
  /** Takes a listing of the relay. */
  readonly receive: (listing: TargetListing) => void;
  /** When the list was surely as it is held; undefined before the first one. */
  readonly listedAt: () => MonotonicInstant | undefined;
}

/** Keeps the book in step with the platform's list of targets. */
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
  /** By the last own read. */
  let isStoreAway = false;
  let newestRevision: Revision = -Infinity;
  let era: number | undefined;
  let askedAt: MonotonicInstant = -Infinity;
  /** The list was surely so at this moment, by what a relay has told. */
  let relayedAt: MonotonicInstant = -Infinity;
  const startedAt = machineClock();
  /** The same by any reading. */
  let listedAt: MonotonicInstant | undefined;

  async function read(): Promise<void> {
    const sentAt = machineClock();
    askedAt = sentAt;
    const reply = await list.read(options.draining * READ_TIMEOUT_SHARE);
    if (signal.aborted) return;
    const sign = storeCallOutcome(reply);
    isStoreAway = showsStoreUnavailable(sign);
    options.storeContact.record(sentAt, sign);
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

  /** Reads begin by the clock, whether or not the one before is answered. */
  function readIfDue(): void {
    const now = machineClock();
    // A look that comes a little early counts, so that reads don't slip.
    if (now - askedAt < period - checkPeriod / 2) return;
    if (options.readsStore()) return void read();
    if (now - relayedAt < relayedBound) return;
    const pause = isStoreAway ? relayedBound * STORE_UNAVAILABLE_FACTOR : 0;
    if (now - askedAt >= pause) void read();
  }

  /**
   * Failure: a relay is frozen, or its words are held up on their way, and an
   * entry takes an old list for a new one: it sends requests to a target that has
   * left. Guard: how old a list is goes by the store's clock at its reading, as
   * the answers to this entry's own reads relate it to the clock here.
   */
  function receive(listing: TargetListing): void {
    const lookedAt = options.storeClock.localTimeLowerBound(listing.storeTime);
    if (lookedAt === undefined || listing.revision < newestRevision) return;
    const provenAt = Math.min(machineClock(), lookedAt);
    if (provenAt - (listedAt ?? startedAt) >= absence) {
      memory.recordFailure(clock() - absence);
    }
    relayedAt = Math.max(relayedAt, provenAt);
    applyListing(listing, provenAt);
  }

  function take(reading: TargetReading, sentAt: MonotonicInstant): void {
    unusableRows.record([...reading.unusable, ...unconfiguredRows(reading)]);
    const {revision, era, storeTime, targets} = reading;
    applyListing({revision, era, storeTime, targets}, sentAt);
  }

  function applyListing(
    listing: TargetListing,
    provenAt: MonotonicInstant,
  ): void {
    newestRevision = listing.revision;
    if (era !== undefined && listing.era > era) memory.recordRestore(clock());
    era = listing.era;
    listedAt = Math.max(listedAt ?? provenAt, provenAt);
    options.onListing(listing);
    const targets = memory.update(listing.targets, clock());
    options.onTargets(targets);
    registry.list(targets, clock());
    logChanges(targets);
    options.onChange();
  }

  /** Targets of services that no route can name, as rows that are of no use. */
  function unconfiguredRows(reading: TargetReading): readonly UnusableRow[] {
    return reading.targets
      .filter(({service}) => options.isConfigured(service) === false)
      .map(({instance, service}) => ({
        key: instance,
        // The same for each of its revisions, so that it is told of once.
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

  void read();
  signal.addEventListener('abort', every(checkPeriod, readIfDue));
  return {receive, listedAt: () => listedAt};
}
