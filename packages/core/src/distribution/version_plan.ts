import {VERSION_MARGIN} from '../placement/version_rule';
import type {Milliseconds, MonotonicInstant} from '../types';
import {committedAge, loadAge, type LoadPlace} from './load_places';

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
      readonly givenUp: readonly Version[];
    }
  /** The version is fetched, and staged after the one in hand. */
  | {
      readonly kind: 'prepare';
      readonly version: Version;
      readonly givenUp: readonly Version[];
    };

/** What the plan needs. */
export interface VersionPlanOptions<Version extends PlannedVersion> {
  /** Time after a version's naming in which all must have it. */
  readonly bound: Milliseconds;
  readonly place: () => LoadPlace;
  /** Whether all chunks of a version can be had without its origin. */
  readonly isSecured: (version: Version) => boolean;
  /** Whether a version's chunks can wait outside the staging area. */
  readonly canWait: (version: Version) => boolean;
}

/** Which versions an engine is given, one after the other. */
export interface VersionPlan<Version extends PlannedVersion> {
  /** Takes a newer version; undefined if it is none. */
  readonly take: (
    version: Version,
    now: MonotonicInstant,
  ) => PlanStep<Version> | undefined;
  /** Takes in how the engine stands; may turn to the version that follows. */
  readonly observe: (
    engine: PlannedEngine,
    now: MonotonicInstant,
  ) => PlanStep<Version> | undefined;
  /** The version that is staged or served. */
  readonly inHand: () => Version | undefined;
  /** The versions that are fetched or there. */
  readonly wanted: () => readonly Version[];
  /** The newest version known; 0 before the first. */
  readonly newest: () => number;
  /** Whether the version in hand keeps the staging area from a newer one. */
  readonly keepsStaging: (now: MonotonicInstant) => boolean;
  /** Whether the engine already serves the version in hand. */
  readonly isServed: () => boolean;
  /** Notes that all chunks of the version in hand are there. */
  readonly noteMoved: (now: MonotonicInstant) => void;
  /** Whether the chunks of the version in hand come later than they should. */
  readonly isPressed: (now: MonotonicInstant) => boolean;
  /** Whether the engine may be told to load the version in hand now. */
  readonly mayLoad: (now: MonotonicInstant) => boolean;
  /** Time until the load; undefined if none is near. */
  readonly loadsIn: (now: MonotonicInstant) => Milliseconds | undefined;
}

/**
 * Share of a version's bound at which its chunks should have been moved at 0.7
 * of a link; later than that they get all of it.
 */
const PRESSED_FROM = 0.5;

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
  let inHand: Version | undefined;
  let following: Version | undefined;
  /** When all chunks of the version in hand were there. */
  let movedAt: MonotonicInstant | undefined;
  let engine: PlannedEngine = {served: undefined, isLoading: false};
  /** All versions that were taken and that the engine does not serve yet. */
  let newer: readonly PlannedVersion[] = [];

  const newest = (): number => (following ?? inHand)?.version ?? 0;

  function isServed(): boolean {
    if (inHand === undefined || engine.served === undefined) return false;
    return engine.served >= inHand.version;
  }

  /** Whether the one that follows was named at most so long after this one. */
  function isFollowedWithin(limit: Milliseconds): boolean {
    if (inHand === undefined || following === undefined) return false;
    if (!options.isSecured(following)) return false;
    return following.knownSince - inHand.knownSince < limit;
  }

  const isReplaced = (): boolean => isFollowedWithin(committedAge(0, bound));

  const isSkipped = (): boolean =>
    isFollowedWithin(committedAge(options.place(), bound));

  /**
   * One that is skipped stays for the others to fetch, until what the engine
   * serves may start nothing more.
   */
  function keepsStaging(now: MonotonicInstant): boolean {
    if (inHand === undefined || isServed() || engine.isLoading) return false;
    if (isReplaced()) return false;
    const age = now - inHand.knownSince;
    const isWorthKeeping = options.canWait(inHand) && options.isSecured(inHand);
    const from = isWorthKeeping ? 0 : committedAge(0, bound);
    const end = isSkipped() ? bound - VERSION_MARGIN : bound;
    return age >= from && age < end;
  }

  function take(
    version: Version,
    now: MonotonicInstant,
  ): PlanStep<Version> | undefined {
    if (version.version <= newest()) return undefined;
    newer = [...newer, version];
    if (!keepsStaging(now)) return turnTo(version);
    const givenUp = following === undefined ? [] : [following];
    following = version;
    return {kind: 'prepare', version, givenUp};
  }

  function turnTo(version: Version): PlanStep<Version> {
    const givenUp = [inHand, following].filter(
      known => known !== undefined && known !== version,
    ) as readonly Version[];
    inHand = version;
    following = undefined;
    movedAt = undefined;
    return {kind: 'stage', version, givenUp};
  }

  function observe(
    standing: PlannedEngine,
    now: MonotonicInstant,
  ): PlanStep<Version> | undefined {
    engine = standing;
    const served = standing.served ?? 0;
    newer = newer.filter(({version}) => version > served);
    if (following === undefined || keepsStaging(now)) return undefined;
    return turnTo(following);
  }

  /** From when on what the engine serves may start nothing. */
  function outdatedAt(): MonotonicInstant {
    const earliest = Math.min(...newer.map(({knownSince}) => knownSince));
    return earliest + bound - VERSION_MARGIN;
  }

  /** An engine that may start nothing as it is loads at once. */
  function mayLoad(now: MonotonicInstant): boolean {
    if (inHand === undefined || engine.isLoading || isServed()) return false;
    if (engine.served === undefined || now >= outdatedAt()) return true;
    return !isSkipped() && now >= loadsAt(inHand);
  }

  function loadsAt({knownSince}: Version): MonotonicInstant {
    const moved = movedAt === undefined ? undefined : movedAt - knownSince;
    return knownSince + loadAge(options.place(), moved, bound);
  }

  /** Chunks that come this late leave no time for those of other transfers. */
  function isPressed(now: MonotonicInstant): boolean {
    if (inHand === undefined || isServed()) return false;
    return (
      movedAt === undefined && now - inHand.knownSince >= PRESSED_FROM * bound
    );
  }

  function loadsIn(now: MonotonicInstant): Milliseconds | undefined {
    if (inHand === undefined || engine.isLoading || isServed()) {
      return undefined;
    }
    return Math.min(loadsAt(inHand), outdatedAt()) - now;
  }

  return {
    take,
    observe,
    inHand: () => inHand,
    wanted: () =>
      [inHand, following].filter(
        version => version !== undefined,
      ) as readonly Version[],
    newest,
    keepsStaging,
    isServed,
    noteMoved: now => {
      movedAt ??= now;
    },
    isPressed,
    mayLoad,
    loadsIn,
  };
}
