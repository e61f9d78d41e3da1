import type {Milliseconds, ModelName, MonotonicInstant} from '../types';

/**
 * Time in milliseconds before a version's bound at which older ones start
 * nothing more. Without it, a request that is sent in time waits at an
 * overloaded engine behind other prompts and begins on an older version after
 * the bound. Waits of 1.22 and 1.65 s were seen while few engines served, for
 * requests sent 1.04 and 1.39 s before the bound.
 */
export const VERSION_BOUND_MARGIN = 1_500;

/**
 * Maximum time in milliseconds that a request needs to a target in another
 * zone. When a configuration of hundreds of kilobytes goes to every process of
 * a region, it congests the link between regions: requests that were sent in
 * time began on an older version 1.2 s after its bound, and 2 s were seen
 * between the send and the target.
 */
export const MAX_FAR_DELAY = 2_500;

/**
 * Time in milliseconds before a version's bound at which requests that have not
 * begun on an older one are withdrawn, for the close of their connections to
 * reach the target.
 */
const WITHDRAWAL_MARGIN = 300;

/** A named version, and since when any process has known of it. */
export interface VersionNaming {
  readonly model: ModelName;
  readonly version: number;
  readonly knownSince: MonotonicInstant;
}

/** Versions that the operator has named, and which of them must be in force. */
export interface NamedVersions {
  /**
   * Records a version, also one that another process learned of earlier; the
   * earliest time for a version counts. Returns whether it is newer than all
   * known ones.
   */
  readonly name: (
    model: ModelName,
    version: number,
    knownSince: MonotonicInstant,
  ) => boolean;
  readonly newest: (model: ModelName) => number | undefined;
  /**
   * Returns the oldest version that may start a request which takes `delay` to
   * reach its target; undefined if any may.
   */
  readonly oldestAllowed: (
    model: ModelName,
    now: MonotonicInstant,
    delay: Milliseconds,
  ) => number | undefined;
  /**
   * Returns when a request that has not begun on a version must be withdrawn;
   * Infinity if no newer version is named. It may take longer to reach a target
   * in another zone.
   */
  readonly withdrawalTime: (
    model: ModelName,
    version: number,
    isFar: boolean,
  ) => MonotonicInstant;
  readonly all: () => ReadonlyMap<ModelName, number>;
  /** Returns the most recent versions of each model, for other processes. */
  readonly recent: () => readonly VersionNaming[];
}

/**
 * Versions per model sent to other processes; at most two are named within a
 * bound.
 */
const RECENT_NAMINGS = 3;

/**
 * Creates an empty set of named versions.
 *
 * Each version has its bound from its own naming: a later version does not
 * postpone the bound of an earlier one. `bound` is the time from a naming until
 * older versions start nothing more, `VERSION_BOUND_MARGIN` before their bound;
 * `onNaming` is called when a version is named, or earlier than was known.
 */
export function createNamedVersions(
  bound: Milliseconds,
  onNaming: () => void = () => undefined,
): NamedVersions {
  const namings = new Map<ModelName, readonly VersionNaming[]>();

  const newest = (model: ModelName): number | undefined =>
    namings.get(model)?.at(-1)?.version;

  return {
    name: (model, version, knownSince) => {
      const known = namings.get(model) ?? [];
      const existing = known.find(naming => naming.version === version);
      const first = Math.min(knownSince, existing?.knownSince ?? knownSince);
      const isNew = version > (newest(model) ?? 0);
      const others = known.filter(naming => naming !== existing);
      const next = [...others, {model, version, knownSince: first}];
      next.sort((one, other) => one.version - other.version);
      namings.set(model, next);
      if (first !== existing?.knownSince) onNaming();
      return isNew;
    },
    newest,
    oldestAllowed: (model, now, delay) =>
      namings
        .get(model)
        ?.findLast(({knownSince}) => now + delay - knownSince >= bound)
        ?.version,
    withdrawalTime: (model, version, isFar) => {
      const newer = (namings.get(model) ?? []).filter(
        naming => naming.version > version,
      );
      const firstNaming = Math.min(...newer.map(({knownSince}) => knownSince));
      const margin = VERSION_BOUND_MARGIN - WITHDRAWAL_MARGIN;
      return firstNaming + bound + (isFar ? 0 : margin);
    },
    all: () => {
      const versions = new Map<ModelName, number>();
      for (const model of namings.keys()) {
        versions.set(model, newest(model) ?? 0);
      }
      return versions;
    },
    recent: () =>
      [...namings.values()].flatMap(known => known.slice(-RECENT_NAMINGS)),
  };
}
