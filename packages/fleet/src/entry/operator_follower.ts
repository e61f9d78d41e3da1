import {
  createRouteTable,
  type Confirmation,
  type Milliseconds,
  type MonotonicInstant,
  type NamedVersions,
  type RouteTable,
} from '@hibiscusbeam/core';
import type {Clock, Log} from '@hibiscusbeam/daemon';
import {runFeedLoop} from '../link/feed_loop';
import {servicesDigest} from '../link/services_digest';
import type {OperatorFeed, OperatorReading} from '../ports';

/**
 * How long one question waits for a change. Each question costs a call; at
 * 2 s more than half of the revocation bound is left when one is lost.
 */
const WAIT_FOR_CHANGE: Milliseconds = 2_000;

/** Time beyond the wait after which a question counts as lost. */
const ANSWER_SLACK: Milliseconds = 800;

/** Pauses after failed questions, from the first to the longest. */
const FIRST_PAUSE: Milliseconds = 100;
const LONGEST_PAUSE: Milliseconds = 500;

/** What the operator wants, as far as this process knows. */
export interface OperatorFollower {
  readonly start: (signal: AbortSignal) => void;
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
    options.onChange();
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
          follow: after =>
            ask(() =>
              feed.follow(
                after,
                WAIT_FOR_CHANGE,
                WAIT_FOR_CHANGE + ANSWER_SLACK,
              ),
            ),
          take,
          pause: failures =>
            Math.min(LONGEST_PAUSE, FIRST_PAUSE * 2 ** failures),
        },
        signal,
      ),
    table: () => table,
    servicesDigest: () => digest,
  };
}
