import {VERSION_BOUND_MARGIN} from '../placement/named_versions';
import type {Milliseconds, MonotonicInstant} from '../types';
import {committedAge, loadAge, type LoadOffset} from './load_offsets';

/** A version as the plan sees it. */
export interface PlannedVersion {
  readonly version: number;
  /** When this process learned of it. */
  readonly knownSince: MonotonicInstant;
}

/** How the engine stands. */
export interface PlannedEngine {
  /** The version that it serves; undefined if it serves none. */
  readonly served: number | undefined;
  /** Whether it loads one now. */
  readonly isLoading: boolean;
}

/** What follows from a step of the plan. */
export type PlanStep<Version> =
  /** The version is staged from now on; the others are given up. */
  | {
      readonly kind: 'stage';
      readonly version: Version;
      readonly replacedVersions: readonly Version[];
    }
  /** The version is fetched, and staged after the one in hand. */
  | {
      readonly kind: 'prepare';
      readonly version: Version;
      readonly replacedVersions: readonly Version[];
    };

/** What the plan needs. */
export interface VersionPlanOptions<Version extends PlannedVersion> {
  /** Time after a version's naming in which all must have it. */
  readonly bound: Milliseconds;
  readonly place: () => LoadOffset;
  /** Whether all chunks of a version can be had without its origin. */
  readonly isIndependentOfOrigin: (version: Version) => boolean;
  /** Whether a version's chunks can wait outside the staging area. */
  readonly fitsOutsideStaging: (version: Version) => boolean;
}

/** Which versions an engine is given, one after the other. */
export interface VersionPlan<Version extends PlannedVersion> {
  /** Takes a newer version; undefined if it is none. */
  readonly addVersion: (
    version: Version,
    now: MonotonicInstant,
  ) => PlanStep<Version> | undefined;
  /** Takes in how the engine stands; may turn to the version that follows. */
  readonly observe: (
    engine: PlannedEngine,
    now: MonotonicInstant,
  ) => PlanStep<Version> | undefined;
  /** The version that is staged or served. */
  readonly current: () => Version | undefined;
  /** The versions that are fetched or there. */
  readonly wanted: () => readonly Version[];
  /** The newest version known; 0 before the first. */
  readonly newest: () => number;
  /** Whether the version in hand keeps the staging area from a newer one. */
  readonly occupiesStaging: (now: MonotonicInstant) => boolean;
  /** Whether the engine already serves the version in hand. */
  readonly isServed: () => boolean;
  /** Notes that all chunks of the version in hand are there. */
  readonly recordTransferred: (now: MonotonicInstant) => void;
  /** Whether the chunks of the version in hand come later than they should. */
  readonly isBehindSchedule: (now: MonotonicInstant) => boolean;
  /** Whether the engine may be told to load the version in hand now. */
  readonly mayLoad: (now: MonotonicInstant) => boolean;
  /** Time until the load; undefined if none is near. */
  readonly loadsIn: (now: MonotonicInstant) => Milliseconds | undefined;
}

/**
 * Share of a version's bound at which its chunks should have been moved at 0.7
 * of a link; later than that they get all of it.
 */
const BEHIND_SCHEDULE_SHARE = 0.5;

/**
 * Creates the plan of one engine.
 *
 * Each version has its bound from its own naming. One that is named soon after
 * another takes its place; later than that the one in hand is loaded first, or
 * skipped by the engines whose turn is late, while the newer one is fetched
 * already.
 *
 * Failure: a version is given up for a newer one, and the origin is lost before
 * it has sent that. Engines have neither, and may start nothing from the older
 * one's bound until the origin's return: six seconds were seen. Guard: a version
 * that no longer needs its origin is given up, or skipped, only for one that
 * doesn't either. One that still needs it is given up at once: two names that
 * come together would have both versions moved, one behind the other.
 */
export function createVersionPlan<Version extends PlannedVersion>(
  options: VersionPlanOptions<Version>,
): VersionPlan<Version> {
  const {bound} = options;
  let current: Version | undefined;
  let next: Version | undefined;
  /** When all chunks of the version in hand were there. */
  let transferredAt: MonotonicInstant | undefined;
  let engine: PlannedEngine = {served: undefined, isLoading: false};
  /** All versions that were taken and that the engine does not serve yet. */
  let unservedVersions: readonly PlannedVersion[] = [];

  const newest = (): number => (next ?? current)?.version ?? 0;

  function isServed(): boolean {
    if (current === undefined || engine.served === undefined) return false;
    return engine.served >= current.version;
  }

  /** Whether the one that follows was named at most so long after this one. */
  function isFollowedWithin(limit: Milliseconds): boolean {
    if (current === undefined || next === undefined) return false;
    if (!options.isIndependentOfOrigin(next)) return false;
    return next.knownSince - current.knownSince < limit;
  }

  const isReplaced = (): boolean => isFollowedWithin(committedAge(0, bound));

  const isSkipped = (): boolean =>
    isFollowedWithin(committedAge(options.place(), bound));

  /**
   * One that is skipped stays for the others to fetch, until what the engine
   * serves may start nothing more.
   */
  function occupiesStaging(now: MonotonicInstant): boolean {
    if (current === undefined || isServed() || engine.isLoading) return false;
    if (isReplaced()) return false;
    const age = now - current.knownSince;
    const isWorthKeeping =
      options.fitsOutsideStaging(current) &&
      options.isIndependentOfOrigin(current);
    const from = isWorthKeeping ? 0 : committedAge(0, bound);
    const end = isSkipped() ? bound - VERSION_BOUND_MARGIN : bound;
    return age >= from && age < end;
  }

  function addVersion(
    version: Version,
    now: MonotonicInstant,
  ): PlanStep<Version> | undefined {
    if (version.version <= newest()) return undefined;
    unservedVersions = [...unservedVersions, version];
    if (!occupiesStaging(now)) return switchTo(version);
    const replacedVersions = next === undefined ? [] : [next];
    next = version;
    return {kind: 'prepare', version, replacedVersions};
  }

  function switchTo(version: Version): PlanStep<Version> {
    const replacedVersions = [current, next].filter(
      known => known !== undefined && known !== version,
    ) as readonly Version[];
    current = version;
    next = undefined;
    transferredAt = undefined;
    return {kind: 'stage', version, replacedVersions};
  }

  function observe(
    status: PlannedEngine,
    now: MonotonicInstant,
  ): PlanStep<Version> | undefined {
    engine = status;
    const served = status.served ?? 0;
    unservedVersions = unservedVersions.filter(({version}) => version > served);
    if (next === undefined || occupiesStaging(now)) return undefined;
    return switchTo(next);
  }

  /** From when on what the engine serves may start nothing. */
  function outdatedAt(): MonotonicInstant {
    const earliest = Math.min(
      ...unservedVersions.map(({knownSince}) => knownSince),
    );
    return earliest + bound - VERSION_BOUND_MARGIN;
  }

  /** An engine that may start nothing as it is loads at once. */
  function mayLoad(now: MonotonicInstant): boolean {
    if (current === undefined || engine.isLoading || isServed()) return false;
    if (engine.served === undefined || now >= outdatedAt()) return true;
    return !isSkipped() && now >= loadsAt(current);
  }

  function loadsAt({knownSince}: Version): MonotonicInstant {
    const moved =
      transferredAt === undefined ? undefined : transferredAt - knownSince;
    return knownSince + loadAge(options.place(), moved, bound);
  }

  /** Chunks that come this late leave no time for those of other transfers. */
  function isBehindSchedule(now: MonotonicInstant): boolean {
    if (current === undefined || isServed()) return false;
    return (
      transferredAt === undefined &&
      now - current.knownSince >= BEHIND_SCHEDULE_SHARE * bound
    );
  }

  function loadsIn(now: MonotonicInstant): Milliseconds | undefined {
    if (current === undefined || engine.isLoading || isServed()) {
      return undefined;
    }
    return Math.min(loadsAt(current), outdatedAt()) - now;
  }

  return {
    addVersion,
    observe,
    current: () => current,
    wanted: () =>
      [current, next].filter(
        version => version !== undefined,
      ) as readonly Version[],
    newest,
    occupiesStaging,
    isServed,
    recordTransferred: now => {
      transferredAt ??= now;
    },
    isBehindSchedule,
    mayLoad,
    loadsIn,
  };
}
