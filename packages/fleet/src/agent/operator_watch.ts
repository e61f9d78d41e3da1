import type {
  Milliseconds,
  NamedVersions,
  ServiceDescription,
} from '@hibiscusbeam/core';
import type {Clock, Log} from '@hibiscusbeam/daemon';
import {runFeedLoop} from '../link/feed_loop';
import type {OperatorFeed, OperatorReading} from '../ports';

/**
 * How long one question waits for a change. Entries tell agents of new versions
 * with each report, so this is a second way, and each question costs a call.
 */
const WAIT_FOR_CHANGE: Milliseconds = 6_000;

/** Time beyond the wait after which a question counts as lost. */
const ANSWER_SLACK: Milliseconds = 800;

/** Pause after a question without an answer. */
const PAUSE_AFTER_FAILURE: Milliseconds = 400;

/** What an agent knows of the operator's writing. */
export interface OperatorWatch {
  readonly start: (signal: AbortSignal) => void;
  /** The services of the newest configuration; none before the first. */
  readonly services: () => readonly ServiceDescription[];
}

/** Creates the watch. */
export function createOperatorWatch(
  feed: OperatorFeed,
  versions: NamedVersions,
  clock: Clock,
  log: Log,
): OperatorWatch {
  let services: readonly ServiceDescription[] = [];

  function take({configuration, namedVersions}: OperatorReading): void {
    services = configuration?.services ?? services;
    for (const {model, version} of namedVersions) {
      const isNew = versions.name(model, version, clock());
      if (isNew) log.info('version named', {model, version});
    }
  }

  return {
    start: signal =>
      void runFeedLoop(
        {
          name: 'operator feed',
          log,
          readAll: () => feed.readAll(ANSWER_SLACK),
          follow: after =>
            feed.follow(after, WAIT_FOR_CHANGE, WAIT_FOR_CHANGE + ANSWER_SLACK),
          take,
          pause: () => PAUSE_AFTER_FAILURE,
        },
        signal,
      ),
    services: () => services,
  };
}
