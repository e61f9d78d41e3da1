import {VERSION_BOUND_MARGIN} from '../placement/named_versions';
import type {Milliseconds, MonotonicInstant} from '../types';
import {committedAge, loadAge, type LoadOffset} from './load_offsets';

/** The properties of a version that the plan uses. */
export interface PlannedVersion {
  readonly version: number;
  /** When this process learned of it. */
  readonly knownSince: MonotonicInstant;
}

/** Status of the engine. */
export interface PlannedEngine {
  /** The version that the engine serves; undefined if it serves none. */
  readonly served: number | undefined;
  /** Whether the engine is loading a version. */
  readonly isLoading: boolean;
}

/** Action that a plan requests after a change. */
export type PlanStep<Version> =
  /** Stage the version; drop the versions that it replaces. */
  | {
      readonly kind: 'stage';
      readonly version: Version;
      readonly replacedVersions: readonly Version[];
    }
  /** Fetch the version now and stage it after the current one. */
  | {
      readonly kind: 'prepare';
      readonly version: Version;
      readonly replacedVersions: readonly Version[];
    };

/** Options of {@link createVersionPlan}. */
export interface VersionPlanOptions<Version extends PlannedVersion> {
  /** Time after a version is named within which all engines must have it. */
  readonly bound: Milliseconds;
  readonly place: () => LoadOffset;
  /** Whether all chunks of a version are available without the origin. */
  readonly isIndependentOfOrigin: (version: Version) => boolean;
  /** Whether a version's chunks can be kept outside the staging area. */
  readonly fitsOutsideStaging: (version: Version) => boolean;
}

/** Decides which versions an engine loads, and in which order. */
export interface VersionPlan<Version extends PlannedVersion> {
  /** Adds a newer version; returns undefined if it is not newer. */
  readonly addVersion: (
    version: Version,
    now: MonotonicInstant,
  ) => PlanStep<Version> | undefined;
  /** Updates the engine's status; may switch to the next version. */
  readonly observe: (
    engine: PlannedEngine,
    now: MonotonicInstant,
  ) => PlanStep<Version> | undefined;
  /** The version that is staged or served. */
  readonly current: () => Version | undefined;
  /** The versions that are being fetched or already complete. */
  readonly wanted: () => readonly Version[];
  /** Number of the newest known version; 0 if there is none. */
  readonly newest: () => number;
  /** Whether the current version keeps the staging area from a newer one. */
  readonly occupiesStaging: (now: MonotonicInstant) => boolean;
  /** Whether the engine already serves the current version. */
  readonly isServed: () => boolean;
  /** Records that all chunks of the current version have arrived. */
  readonly recordTransferred: (now: MonotonicInstant) => void;
  /** Whether the chunks of the current version arrive later than planned. */
  readonly isBehindSchedule: (now: MonotonicInstant) => boolean;
  /** Whether the engine may load the current version now. */
  readonly mayLoad: (now: MonotonicInstant) => boolean;
  /**
   * Time until the engine loads the current version; undefined if no load is
   * due.
   */
  readonly loadsIn: (now: MonotonicInstant) => Milliseconds | undefined;
}

/**
 * Fraction of a version's bound by which its chunks should have arrived at 0.7
 * of a link's rate. After that they use the whole link.
 */
const BEHIND_SCHEDULE_SHARE = 0.5;

/**
 * Creates the version plan of one engine.
 *
 * Each version has its own bound, counted from the time it was named. A version
 * that is named soon after the current one replaces it. If it is named later,
 * the current version is loaded first, or skipped by engines with a late load
 * offset, and the newer one is already fetched meanwhile.
 *
 * A version that no longer needs its origin is replaced or skipped only for one
 * that does not need it either. Otherwise, if the origin fails before it has
 * sent the newer version, engines have neither and can start nothing from the
 * older version's bound until the origin returns; this took six seconds. A
 * version that still needs its origin is replaced at once, because two versions
 * named together would otherwise be transferred one after the other.
 */
export function createVersionPlan<Version extends PlannedVersion>(
  options: VersionPlanOptions<Version>,
): VersionPlan<Version> {
  const {bound} = options;
  let current: Version | undefined;
  let next: Version | undefined;
  /** When all chunks of the current version had arrived. */
  let transferredAt: MonotonicInstant | undefined;
  let engine: PlannedEngine = {served: undefined, isLoading: false};
  /** All added versions that are newer than the one the engine serves. */
  let unservedVersions: readonly PlannedVersion[] = [];

  const newest = (): number => (next ?? current)?.version ?? 0;

  function isServed(): boolean {
    if (current === undefined || engine.served === undefined) return false;
    return engine.served >= current.version;
  }

  /**
   * Whether the next version was named less than `limit` after the current one.
   */
  function isFollowedWithin(limit: Milliseconds): boolean {
    if (current === undefined || next === undefined) return false;
    if (!options.isIndependentOfOrigin(next)) return false;
    return next.knownSince - current.knownSince < limit;
  }

  const isReplaced = (): boolean => isFollowedWithin(committedAge(0, bound));

  const isSkipped = (): boolean =>
    isFollowedWithin(committedAge(options.place(), bound));

  /**
   * A skipped version stays staged so that others can fetch it, until the
   * version that the engine serves may no longer start requests.
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

  /**
   * Time from which the version that the engine serves may start no requests.
   */
  function outdatedAt(): MonotonicInstant {
    const earliest = Math.min(
      ...unservedVersions.map(({knownSince}) => knownSince),
    );
    return earliest + bound - VERSION_BOUND_MARGIN;
  }

  /** An engine whose version may no longer start requests loads at once. */
  function mayLoad(now: MonotonicInstant): boolean {
    if (current === undefined || engine.isLoading || isServed()) return false;
    if (engine.served === undefined || now >= outdatedAt()) return true;
    return !isSkipped() && now >= loadsAt(current);
  }

  function loadsAt({knownSince}: Version): MonotonicInstant {
    const transferAge =
      transferredAt === undefined ? undefined : transferredAt - knownSince;
    return knownSince + loadAge(options.place(), transferAge, bound);
  }

  /** Chunks that arrive this late leave no time for other transfers. */
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
