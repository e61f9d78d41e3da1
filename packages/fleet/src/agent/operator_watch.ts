import type {
  Milliseconds,
  ModelName,
  ServiceDescription,
} from '@hibiscusbeam/core';
import type {Log} from '@hibiscusbeam/daemon';
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
  readonly namedVersion: (model: ModelName) => number | undefined;
  /** Takes a version that an entry tells of. */
  readonly learn: (model: ModelName, version: number) => void;
}

/** Creates the watch. */
export function createOperatorWatch(
  feed: OperatorFeed,
  log: Log,
): OperatorWatch {
  const named = new Map<ModelName, number>();
  let services: readonly ServiceDescription[] = [];

  function learn(model: ModelName, version: number): void {
    if (version <= (named.get(model) ?? 0)) return;
    named.set(model, version);
    log.info('version named', {model, version});
  }

  function take({configuration, namedVersions}: OperatorReading): void {
    services = configuration?.services ?? services;
    for (const {model, version} of namedVersions) learn(model, version);
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
    namedVersion: model => named.get(model),
    learn,
  };
}
