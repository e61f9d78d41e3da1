import {
  sideMayOrder,
  sideMayServe,
  type AcceptedConfiguration,
  type Milliseconds,
  type SiteConfiguration,
} from '@hibiscusbeam/core';
import type {Log} from '../logs';
import {sleep} from '../runtime/clock';
import type {
  OlderSystemClient,
  OlderSystemState,
  Ownership,
} from './older_system_client';

/** Check period of the entry with rank 0. */
const BASE_PERIOD: Milliseconds = 500;

/**
 * Added to the check period for each rank, so that other entries check less
 * often.
 */
const PERIOD_PER_RANK: Milliseconds = 3_000;

/** Max entries that check; more would only add calls. */
const MAX_ANNOUNCERS = 3;

/** Keeps the older system's ownership up to date until stopped. */
export interface OwnershipAnnouncer {
  readonly stop: () => void;
}

/** Options of {@link startOwnershipAnnouncer}. */
export interface OwnershipAnnouncerOptions {
  readonly olderSystem: OlderSystemClient;
  readonly current: () => AcceptedConfiguration | undefined;
  /** Position of this entry among the live ones; rank 0 announces first. */
  readonly rank: () => number;
  readonly log: Log;
}

/**
 * Sends the older system the ownership of the generation that this entry knows.
 * Any entry may do so at any time: the older system keeps the ownership of the
 * highest generation it received.
 */
export function startOwnershipAnnouncer(
  options: OwnershipAnnouncerOptions,
): OwnershipAnnouncer {
  const {olderSystem, log} = options;
  const stopping = new AbortController();

  const announceIfBehind = async (): Promise<void> => {
    const accepted = options.current();
    if (accepted === undefined || accepted.generation === 0) return;
    const state = await olderSystem.state();
    if (state === undefined || state.generation >= accepted.generation) return;
    await olderSystem.sendOwnership(ownershipAt(accepted, state));
    log.info(`sent generation ${accepted.generation} to the older system`);
  };

  const run = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      const rank = options.rank();
      if (rank < MAX_ANNOUNCERS) await announceIfBehind();
      const period = BASE_PERIOD + rank * PERIOD_PER_RANK;
      await sleep(Math.min(period, MAX_PERIOD), stopping.signal);
    }
  };
  void run();

  return {stop: () => stopping.abort()};
}

/** An entry that becomes first notices it within this time. */
const MAX_PERIOD: Milliseconds = BASE_PERIOD + 2 * PERIOD_PER_RANK;

/**
 * What the older system owns under a configuration. What the configuration does
 * not name never belonged to this system and stays with the older one.
 */
export function ownershipAt(
  {generation, configuration}: AcceptedConfiguration,
  state: OlderSystemState,
): Ownership {
  const targets = Object.keys(configuration.targets).filter(name =>
    sideMayOrder('older-system', name, configuration),
  );
  const workspaces = Object.keys(configuration.workspaces).filter(name =>
    sideMayServe('older-system', name, configuration),
  );
  return {
    generation,
    targets: [
      ...withoutNamed(state.targets, configuration.targets),
      ...targets,
    ],
    workspaces: [
      ...withoutNamed(state.workspaces, configuration.workspaces),
      ...workspaces,
    ],
  };
}

function withoutNamed(
  names: readonly string[],
  named: SiteConfiguration['targets'] | SiteConfiguration['workspaces'],
): readonly string[] {
  return names.filter(name => !Object.hasOwn(named, name));
}
