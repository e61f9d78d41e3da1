import type {Milliseconds, NamedVersions} from '@hibiscusbeam/core';
import {sleep, type Clock, type Log} from '@hibiscusbeam/daemon';
import type {EngineReportReply} from '@hibiscusbeam/wire';
import {runFeedLoop} from '../link/feed_loop';
import {servicesDigest} from '../link/services_digest';
import {
  readServices,
  selectAgentServices,
  type AgentService,
} from '../link/services_copy';
import {createWakeablePause} from '../link/wakeable_pause';
import type {OperatorFeed, OperatorReading, Revision} from '../ports';
import type {StartupSource} from '../runtime/startup_log';

/** How long one request waits for a change; each request costs a call. */
const LONG_POLL_WAIT: Milliseconds = 6_000;

/**
 * Silence of all entries after which the store is polled. Entries inform agents
 * every second of new versions, and of the services if they have changed.
 *
 * If agents read the store themselves, each change of a configuration of
 * hundreds of kilobytes would also go to each agent. This saturates the links
 * between regions for seconds, and requests reach their targets two seconds
 * late.
 */
const ENTRY_SILENCE: Milliseconds = 2_500;

/** Time beyond the wait after which a request counts as lost. */
const ANSWER_SLACK: Milliseconds = 800;

/** Pause after a request without an answer. */
const PAUSE_AFTER_FAILURE: Milliseconds = 400;

/** Interval of the checks whether an entry has sent the services. */
const START_CHECK_PERIOD: Milliseconds = 200;

/** Digest of an entry that knows no configuration yet. */
const EMPTY_DIGEST = servicesDigest([]);

/** What an entry knows of the operator's table. */
export type EntryKnowledge = Omit<EngineReportReply, 'namings'>;

/** The operator's rows as known to an agent. */
export interface OperatorMonitor {
  readonly start: (signal: AbortSignal) => void;
  /** The services of the newest configuration; empty before the first. */
  readonly services: () => readonly AgentService[];
  /** Takes what an entry knows, after the versions that it has named. */
  readonly receive: (knowledge: EntryKnowledge) => void;
}

/** Dependencies of the operator monitor. */
export interface OperatorMonitorOptions {
  readonly feed: OperatorFeed;
  readonly versions: NamedVersions;
  readonly clock: Clock;
  readonly log: Log;
  /** Whether the site has entries; undefined until that is known. */
  readonly hasEntries: () => boolean | undefined;
  /**
   * How long a starting agent waits for what the entries know before it reads
   * the whole table itself.
   */
  readonly maxEntryWait: Milliseconds;
  /** Called when the services of a newer configuration are known. */
  readonly onServices: (source: StartupSource) => void;
}

/** Creates the monitor. */
export function createOperatorMonitor(
  options: OperatorMonitorOptions,
): OperatorMonitor {
  const {feed, versions, clock, log} = options;
  const startedAt = clock();
  let services: readonly AgentService[] = [];
  let digest = EMPTY_DIGEST;
  /** Version of the newest configuration known to contain the services. */
  let heldVersion = -Infinity;
  /** Revision up to which entries know the table; 0 if none has sent one. */
  let entriesKnowUntil: Revision = 0;
  /** Whether the last entry to reply knows other services that may be newer. */
  let isOutdated = false;
  let entryRepliedAt = -Infinity;
  const pause = createWakeablePause();

  function take(
    next: readonly AgentService[],
    nextDigest: number,
    version: number,
    source: StartupSource,
  ): void {
    // A restored store may have an older configuration than the one entries
    // use, and an entry may lag behind the others.
    if (version <= heldVersion) return;
    heldVersion = version;
    services = next;
    digest = nextDigest;
    options.onServices(source);
  }

  function applyReading({configuration, namedVersions}: OperatorReading): void {
    if (configuration !== undefined) {
      const {version, services: all} = configuration;
      take(selectAgentServices(all), servicesDigest(all), version, 'store');
    }
    for (const {model, version} of namedVersions) {
      const isNew = versions.name(model, version, clock());
      if (isNew) log.info('version named', {model, version});
    }
  }

  function receive(knowledge: EntryKnowledge): void {
    const {configurationVersion, knownUntil} = knowledge;
    entryRepliedAt = clock();
    if (knowledge.services !== undefined) {
      const received = readServices(knowledge.services);
      take(received, knowledge.servicesDigest, configurationVersion, 'entry');
    }
    const isSame = knowledge.servicesDigest === digest;
    isOutdated =
      !isSame &&
      knowledge.servicesDigest !== EMPTY_DIGEST &&
      mayBeNewer(configurationVersion);
    if (isSame && digest !== EMPTY_DIGEST) {
      heldVersion = Math.max(heldVersion, configurationVersion);
      entriesKnowUntil = Math.max(entriesKnowUntil, knownUntil);
    }
    if (mustPoll()) pause.wake();
  }

  /** Entries of older programs don't tell the version. */
  function mayBeNewer(configurationVersion: number): boolean {
    return configurationVersion === 0 || configurationVersion > heldVersion;
  }

  function mustPoll(): boolean {
    return clock() - entryRepliedAt >= ENTRY_SILENCE || isOutdated;
  }

  async function waitUntilPollNeeded(signal: AbortSignal): Promise<void> {
    while (!mustPoll() && !signal.aborted) {
      const silentIn = entryRepliedAt + ENTRY_SILENCE - clock();
      await pause.sleep(silentIn, signal);
    }
  }

  /**
   * Waits at the start for the services from an entry. Reads of the whole table
   * by all agents of a region would saturate its link and time out together.
   */
  async function awaitEntries(
    signal: AbortSignal,
  ): Promise<Revision | undefined> {
    while (isReplyDue() && !signal.aborted) {
      await pause.sleep(START_CHECK_PERIOD, signal);
    }
    return entriesKnowUntil > 0 ? entriesKnowUntil : undefined;
  }

  function isReplyDue(): boolean {
    if (entriesKnowUntil > 0 || options.hasEntries() === false) return false;
    return clock() - startedAt < options.maxEntryWait;
  }

  return {
    start: signal =>
      void runFeedLoop(
        {
          name: 'operator feed',
          log,
          awaitFirst: awaitEntries,
          readAll: () => feed.readAll(ANSWER_SLACK),
          follow: async after => {
            await waitUntilPollNeeded(signal);
            return feed.follow(
              Math.max(after, entriesKnowUntil),
              LONG_POLL_WAIT,
              LONG_POLL_WAIT + ANSWER_SLACK,
            );
          },
          onReading: applyReading,
          pause: (_, aborted) => sleep(PAUSE_AFTER_FAILURE, aborted),
        },
        signal,
      ),
    services: () => services,
    receive,
  };
}
