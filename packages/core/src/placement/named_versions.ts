import type {Milliseconds, ModelName, MonotonicInstant} from '../types';

/**
 * Time before a version's bound at which older ones start nothing more, in
 * milliseconds. Failure: a request is sent in time and waits at an overloaded
 * engine, behind the prompts of others; it begins on an older version after the
 * bound. Waits of 1.22 and 1.65 s were seen while few engines served, of requests
 * that were sent 1.04 and 1.39 s before it.
 */
export const VERSION_BOUND_MARGIN = 1_500;

/**
 * Longest time that a request needs to a target in another zone, in
 * milliseconds. Failure: a configuration of hundreds of kilobytes goes to each
 * process of a region, the link between regions is choked, and requests that
 * were sent in time begin on an older version 1.2 s after its bound; 2 s were
 * seen between the send and the target.
 */
export const MAX_FAR_DELAY = 2_500;

/** That a version was named, and since when that is known somewhere. */
export interface VersionNaming {
  readonly model: ModelName;
  readonly version: number;
  readonly knownSince: MonotonicInstant;
}

/** Versions that the operator has named, and which of them must be in force. */
export interface NamedVersions {
  /**
   * Takes a name, also one that another process learned of before; of several
   * moments for the same version the first one counts. Returns whether the
   * version is newer than all known before.
   */
  readonly name: (
    model: ModelName,
    version: number,
    knownSince: MonotonicInstant,
  ) => boolean;
  readonly newest: (model: ModelName) => number | undefined;
  /**
   * The oldest version that may start a request which takes `delay` to reach its
   * target; undefined if any may.
   */
  readonly oldestAllowed: (
    model: ModelName,
    now: MonotonicInstant,
    delay: Milliseconds,
  ) => number | undefined;
  readonly all: () => ReadonlyMap<ModelName, number>;
  /** The last few names of each model, for other processes. */
  readonly recent: () => readonly VersionNaming[];
}

/** Names told to others; two follow one another within a bound at most. */
const RECENT_NAMINGS = 3;

/**
 * Creates the memory of named versions.
 *
 * Each version has its bound from its own naming: one that is named later does
 * not put off the one before it.
 */
export function createNamedVersions(bound: Milliseconds): NamedVersions {
  const namings = new Map<ModelName, readonly VersionNaming[]>();

  const newest = (model: ModelName): number | undefined =>
    namings.get(model)?.at(-1)?.version;

  return {
    name: (model, version, knownSince) => {
      const known = namings.get(model) ?? [];
      const same = known.find(naming => naming.version === version);
      const first = Math.min(knownSince, same?.knownSince ?? knownSince);
      const isNew = version > (newest(model) ?? 0);
      const others = known.filter(naming => naming !== same);
      const next = [...others, {model, version, knownSince: first}];
      next.sort((one, other) => one.version - other.version);
      namings.set(model, next);
      return isNew;
    },
    newest,
    oldestAllowed: (model, now, delay) =>
      namings
        .get(model)
        ?.findLast(({knownSince}) => now + delay - knownSince >= bound)
        ?.version,
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
