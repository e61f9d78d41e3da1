import type {
  Milliseconds,
  NamedVersions,
  ServiceDescription,
} from '@hibiscusbeam/core';
import {sleep, type Clock, type Log} from '@hibiscusbeam/daemon';
import {runFeedLoop} from '../link/feed_loop';
import {servicesDigest} from '../link/services_digest';
import {createWakeablePause} from '../link/wakeable_pause';
import type {OperatorFeed, OperatorReading} from '../ports';
import type {StartupSource} from '../runtime/startup_log';

/** How long one request waits for a change; each request costs a call. */
const LONG_POLL_WAIT: Milliseconds = 6_000;

/**
 * Silence of all entries after which the store is polled. Entries inform agents
 * every second of new versions, and whether the services are still the same.
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

/** The operator's rows as known to an agent. */
export interface OperatorMonitor {
  readonly start: (signal: AbortSignal) => void;
  /** The services of the newest configuration; empty before the first. */
  readonly services: () => readonly ServiceDescription[];
  /**
   * Records a message of an entry, with the digest of the services it knows.
   */
  readonly recordEntryDigest: (digest: number) => void;
}

/** Dependencies of the operator monitor. */
export interface OperatorMonitorOptions {
  readonly feed: OperatorFeed;
  readonly versions: NamedVersions;
  readonly clock: Clock;
  readonly log: Log;
  /** Called when the services of a newer configuration are known. */
  readonly onServices: (source: StartupSource) => void;
}

/** Creates the monitor. */
export function createOperatorMonitor(
  options: OperatorMonitorOptions,
): OperatorMonitor {
  const {feed, versions, clock, log} = options;
  let services: readonly ServiceDescription[] = [];
  let digest = servicesDigest(services);
  /** Version of the configuration that contains the services. */
  let heldVersion = -Infinity;
  let entryDigest = digest;
  let entryReportedAt = -Infinity;
  const pause = createWakeablePause();

  function applyReading({configuration, namedVersions}: OperatorReading): void {
    // A restored store may have an older configuration than the one entries
    // use.
    if (configuration !== undefined && configuration.version > heldVersion) {
      heldVersion = configuration.version;
      services = configuration.services;
      digest = servicesDigest(services);
      options.onServices('store');
    }
    for (const {model, version} of namedVersions) {
      const isNew = versions.name(model, version, clock());
      if (isNew) log.info('version named', {model, version});
    }
  }

  function mustPoll(): boolean {
    return clock() - entryReportedAt >= ENTRY_SILENCE || entryDigest !== digest;
  }

  async function waitUntilPollNeeded(signal: AbortSignal): Promise<void> {
    while (!mustPoll() && !signal.aborted) {
      const silentIn = entryReportedAt + ENTRY_SILENCE - clock();
      await pause.sleep(silentIn, signal);
    }
  }

  return {
    start: signal =>
      void runFeedLoop(
        {
          name: 'operator feed',
          log,
          readAll: () => feed.readAll(ANSWER_SLACK),
          follow: async after => {
            await waitUntilPollNeeded(signal);
            return feed.follow(
              after,
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
    recordEntryDigest: reportedDigest => {
      entryDigest = reportedDigest;
      entryReportedAt = clock();
      if (reportedDigest !== digest) pause.wake();
    },
  };
}
