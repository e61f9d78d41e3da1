import {
  chooseRelay,
  createEntryStates,
  createStaleReportFilter,
  createSilentPeers,
  isSmallZone,
  relayOrder,
  type Milliseconds,
  type ZoneName,
} from '@hibiscusbeam/core';
import {every, type Clock, type Log} from '@hibiscusbeam/daemon';
import type {
  EngineReport,
  EntryState,
  FollowerGreeting,
  VersionNaming,
} from '@hibiscusbeam/wire';
import {createEntryChannels} from '../link/channels';
import type {ConfigurationCopies} from '../link/configuration_copies';
import {readDemands} from '../link/demand_messages';
import type {SiteRecords, SiteRecordsMessage} from '../link/site_records';
import type {MemberDescription} from '../ports';
import {NO_ADMISSION, type DemandExchange} from './entry_admission';
import type {TableSource} from './operator_follower';
import {createRelayServer, type RelayServer} from './relay_server';
import {openRelayLink, type RelayLink} from './relay_link';
import type {RelayUpdate} from './relay_updates';
import {createSiteReader} from './site_reader';

/**
 * Interval between checks of the relays. A silent one is given up after four
 * checks, which is one second of the 2 s that a report may be old.
 */
const CHECK_PERIOD: Milliseconds = 250;

/** Checks between two greetings of a relay. */
const CHECKS_BETWEEN_GREETINGS = 4;

/**
 * Number of entries that a starting one asks again before it takes over as the
 * relay of its zone.
 */
const MAX_ASKED_AGAIN = 3;

/**
 * Delay in which changes of the site's records are collected before they are
 * sent.
 */
const RECORDS_DELAY: Milliseconds = 10;

/**
 * Age of the last report of an agent after which this entry asks the relay for
 * reports.
 */
const MAX_REPORT_AGE: Milliseconds = 700;

/** Options of the entry peers. */
export interface EntryPeersOptions {
  readonly self: MemberDescription;
  readonly isReady: () => boolean;
  readonly clock: Clock;
  readonly log: Log;
  readonly copies: ConfigurationCopies;
  /** Records that all entries share. */
  readonly records: SiteRecords;
  /** Demand of callers, here and at other entries. */
  readonly demands?: DemandExchange;
  /** Round trip time to the store; undefined until it is known. */
  readonly storeDistance: () => Milliseconds | undefined;
  readonly namings: () => VersionNaming[];
  readonly onNamings: (namings: readonly VersionNaming[]) => void;
  /** Receives reports, from agents or from the relay. */
  readonly onReports: (reports: readonly EngineReport[]) => void;
  /** Receives what the relay has read from the store's tables. */
  readonly onTables: (update: RelayUpdate) => void;
  /** Called when the set of entries has changed that callers may be sent to. */
  readonly onUsable: () => void;
  /** How long this entry looks for its zone's relay when it starts. */
  readonly maxRelaySearch: Milliseconds;
  /**
   * Time after its start in which this entry doesn't take over as the relay from
   * entries that don't answer.
   */
  readonly takeoverDelay: Milliseconds;
  /** Called when the search for the relay has ended. */
  readonly onRelaySearched: () => void;
}

/**
 * The other entries of the site: the relays among them, and which of them serve
 * callers.
 */
export interface EntryPeers {
  readonly setMembers: (members: readonly MemberDescription[]) => void;
  readonly start: () => () => void;
  /** Serves entries that follow this one. */
  readonly relayServer: RelayServer;
  /** Handles a report that an agent has sent here. */
  readonly takeReport: (report: EngineReport) => void;
  /** Sends the status of this entry at once. */
  readonly announceSelf: () => void;
  /** Schedules an update with what has changed in the site's records. */
  readonly scheduleRecords: () => void;
  /** Sends the relays what is held here. */
  readonly greetRelays: () => void;
  /** Other entries that callers may be sent to. */
  readonly usable: () => readonly MemberDescription[];
  /** Number of entries of the site, including this one. */
  readonly size: () => number;
  /** Where this entry gets the operator's table from. */
  readonly operatorSource: () => TableSource;
  /** Whether this entry reads the list of targets itself. */
  readonly readsTargets: () => boolean;
}

/**
 * Creates the peers of an entry.
 *
 * One entry of each zone is its relay: the first that responds, in an order
 * that all agree on. The others only follow it, and it follows the relays of
 * the other zones, so that the number of connections grows with the number of
 * zones and the size of a zone. If every entry greeted every other one each
 * second and each agent reported to each entry, a start at 98 entries and 65
 * agents would open 260 connections in each process, and 66 s of operation
 * would take more than 5 s of CPU time in each.
 */
export function createEntryPeers(options: EntryPeersOptions): EntryPeers {
  const {self, clock, log, demands = NO_ADMISSION.exchange} = options;
  const channels = createEntryChannels();
  const states = createEntryStates();
  const silent = createSilentPeers();
  const reportOrder = createStaleReportFilter();
  const siteReader = createSiteReader({
    instance: self.instance,
    clock,
    storeDistance: options.storeDistance,
  });
  const relayServer = createRelayServer({
    clock,
    log,
    states: allStates,
    namings: options.namings,
    copies: options.copies,
    records: options.records,
    demands: demands.zones,
    readingDistance: () =>
      operatorSource() === 'store' ? options.storeDistance() : undefined,
    onGreeting: takeGreeting,
    onFollowerLost: instance => recordState(instance, false, clock()),
  });
  const startedAt = clock();
  /** Whether no relay of the own zone has sent a reading of the tables yet. */
  let isSearching = true;
  let areMembersKnown = false;
  let entries: readonly MemberDescription[] = [];
  let links: readonly RelayLink[] = [];
  let reportedAt = -Infinity;
  let checks = 0;
  let announcedReady: boolean | undefined;
  let lastUsable = '';
  let pendingGreeting: NodeJS.Timeout | undefined;

  function setMembers(members: readonly MemberDescription[]): void {
    entries = members.filter(({role}) => role === 'entry');
    states.setMembers(entries, clock());
    channels.retain(new Set(entries.map(({address}) => address)));
    reportUsable();
    areMembersKnown = true;
    if (isSearching) followRelays();
  }

  /**
   * Whether this entry is the relay of its zone. The first ones in the order
   * may not listen yet when many start, so it takes over only after a while.
   */
  function isOwnRelay(): boolean {
    if (relayOf(self.zone) !== self) return false;
    const [first] = relayOrder([self, ...entries], self.zone);
    return first === self || clock() - startedAt >= options.takeoverDelay;
  }

  /** Asks the first entries of the zone again if none has answered. */
  function askAgain(): void {
    if (!isSearching || relayOf(self.zone) !== self) return;
    const order = relayOrder([self, ...entries], self.zone);
    for (const {life} of order.slice(0, MAX_ASKED_AGAIN)) silent.forget(life);
  }

  /** Ends the search if this entry is the relay, or none was found in time. */
  function checkSearch(): void {
    const isRelay = areMembersKnown && isOwnRelay();
    const isOver = clock() - startedAt >= options.maxRelaySearch;
    if (isRelay || isOver) endSearch();
  }

  function endSearch(): void {
    if (!isSearching) return;
    isSearching = false;
    options.onRelaySearched();
  }

  function relayOf(zone: ZoneName): MemberDescription | undefined {
    return chooseRelay([self, ...entries], zone, ({life}) =>
      silent.isSilent(life, clock()),
    );
  }

  /**
   * The relay of the own zone; for that relay itself, those of the other zones.
   */
  function wantedRelays(): readonly MemberDescription[] {
    const own = relayOf(self.zone);
    if (own !== undefined && own !== self) return [own];
    const zones = new Set(entries.map(({zone}) => zone));
    zones.delete(self.zone);
    return [...zones].map(relayOf).filter(relay => relay !== undefined);
  }

  function followRelays(): void {
    const wanted = wantedRelays();
    const wantedLives = new Set(wanted.map(({life}) => life));
    const kept = links.filter(link => wantedLives.has(link.relay.life));
    for (const link of links) if (!kept.includes(link)) link.end();
    const followed = new Set(kept.map(link => link.relay.life));
    links = [
      ...kept,
      ...wanted.filter(({life}) => !followed.has(life)).map(follow),
    ];
    checkSearch();
  }

  function follow(relay: MemberDescription): RelayLink {
    log.info('following a relay', {relay: relay.instance, zone: relay.zone});
    const writeRecords = options.records.createWriter();
    return openRelayLink({
      relay,
      clock,
      channels,
      log,
      greeting: () => ({
        ...greetingFor(relay),
        ...writeRecords(clock()),
      }),
      onUpdate: takeUpdate,
      onLost: loseRelay,
    });
  }

  function greetingFor({
    zone,
  }: MemberDescription): Omit<FollowerGreeting, keyof SiteRecordsMessage> {
    const isOwnZone = zone === self.zone;
    return {
      self: ownState(),
      wantsReports: !isOwnZone || !receivesAgentReports(),
      wantsTables: isOwnZone,
      wantsSiteReading: !isOwnZone,
      heldConfiguration: options.copies.newestRevision(),
      namings: options.namings(),
      demands: isOwnZone ? [...demands.own()] : [],
    };
  }

  /** Whether all agents of the zone report to this entry. */
  function receivesAgentReports(): boolean {
    const inZone = entries.filter(({zone}) => zone === self.zone).length + 1;
    return isSmallZone(inZone) && clock() - reportedAt <= MAX_REPORT_AGE;
  }

  function loseRelay(relay: MemberDescription): void {
    log.warn('relay lost', {relay: relay.instance, zone: relay.zone});
    silent.record(relay.life, clock());
    siteReader.forget(relay);
    links = links.filter(link => link.relay !== relay);
    recordState(relay.instance, false, clock());
    followRelays();
  }

  function takeUpdate(update: RelayUpdate, relay: MemberDescription): void {
    options.onNamings(update.namings);
    const now = clock();
    for (const {instance, ready, ageMilliseconds} of update.entries) {
      recordState(instance, ready, now - ageMilliseconds);
    }
    takeRelayedReports(update.reports, relay);
    takeRecords(update.records);
    demands.recordZones(update.demands);
    siteReader.record(update.operator, relay);
    options.onTables(update);
    // Not at its first update: while many entries start, the relay may change
    // before it has sent a reading.
    if (relay.zone === self.zone && update.operator) endSearch();
  }

  function takeRelayedReports(
    reports: readonly EngineReport[],
    relay: MemberDescription,
  ): void {
    const fresh = reports.filter(isNewest);
    if (fresh.length === 0) return;
    // Reports from the own zone's relay are known to all that follow it.
    if (relay.zone !== self.zone) relayServer.queueZoneReports(fresh);
    options.onReports(fresh);
  }

  function isNewest({engineAddress, sequence}: EngineReport): boolean {
    return reportOrder.accepts(engineAddress, sequence, clock());
  }

  function followsOwnRelay(): boolean {
    return links.some(link => link.relay.zone === self.zone && link.isLive());
  }

  function operatorSource(): TableSource {
    if (followsOwnRelay()) return 'zoneRelay';
    if (isSearching) return 'undecided';
    return siteReader.isDelegated() ? 'siteReader' : 'store';
  }

  function takeGreeting(greeting: FollowerGreeting): void {
    options.onNamings(greeting.namings);
    takeRecords(greeting);
    const {self: state} = greeting;
    if (state === undefined) return;
    recordState(state.instance, state.ready, clock());
    // Relays of other zones follow this one too; they send their sums as
    // updates.
    if (greeting.wantsTables) {
      demands.recordFollower(state.instance, readDemands(greeting.demands));
    }
  }

  function takeRecords(message: SiteRecordsMessage): void {
    if (options.records.merge(message, clock())) scheduleRecords();
  }

  /**
   * Delays the greeting, since a target that ends adds a record for each
   * request that it ran.
   */
  function scheduleRecords(): void {
    relayServer.scheduleRecords();
    pendingGreeting ??= setTimeout(() => {
      pendingGreeting = undefined;
      greetRelays();
    }, RECORDS_DELAY);
  }

  function recordState(
    instance: string,
    ready: boolean,
    observedAt: number,
  ): void {
    if (!states.record({instance, ready, observedAt})) return;
    log.info(ready ? 'entry is ready' : 'entry is not ready', {instance});
    reportUsable();
    // Changes are sent on; relays that already know them don't send them again.
    relayServer.sendStates();
  }

  function reportUsable(): void {
    const usableNow = usable()
      .map(({life}) => life)
      .join();
    if (usableNow === lastUsable) return;
    lastUsable = usableNow;
    options.onUsable();
  }

  function usable(): readonly MemberDescription[] {
    const now = clock();
    return entries.filter(({instance}) => states.isUsable(instance, now));
  }

  function ownState(): EntryState {
    return {
      instance: self.instance,
      ready: options.isReady(),
      ageMilliseconds: 0,
    };
  }

  function allStates(): EntryState[] {
    const now = clock();
    const received = states
      .recentStates(now)
      .map(({instance, ready, observedAt}) => ({
        instance,
        ready,
        ageMilliseconds: Math.max(0, Math.round(now - observedAt)),
      }));
    return [ownState(), ...received];
  }

  function check(): void {
    checks += 1;
    for (const link of [...links]) link.check();
    askAgain();
    followRelays();
    reportUsable();
    const isChanged = options.isReady() !== announcedReady;
    if (isChanged || checks % CHECKS_BETWEEN_GREETINGS === 0) greetRelays();
    if (isChanged) relayServer.sendStates();
  }

  function greetRelays(): void {
    announcedReady = options.isReady();
    for (const link of links) link.greet();
  }

  return {
    setMembers,
    relayServer,
    start: () => {
      const stopChecks = every(CHECK_PERIOD, check);
      return () => {
        stopChecks();
        clearTimeout(pendingGreeting);
        relayServer.close();
        for (const link of links) link.end();
        channels.close();
      };
    },
    takeReport: report => {
      reportedAt = clock();
      // The first report on a stream contains version namings that count even
      // if the report itself is outdated.
      if (!isNewest(report)) return options.onNamings(report.namings);
      relayServer.queueReport(report);
      options.onReports([report]);
    },
    announceSelf: () => {
      greetRelays();
      relayServer.sendStates();
    },
    scheduleRecords,
    greetRelays,
    usable,
    size: () => entries.length + 1,
    operatorSource,
    readsTargets: () => !isSearching && !followsOwnRelay(),
  };
}
