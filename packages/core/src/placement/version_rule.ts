import type {Milliseconds, ModelName, MonotonicInstant} from '../types';

/**
 * Time before a version's bound at which older ones start nothing more, in
 * milliseconds. A request may wait at the engine before it begins; 1 s is the
 * longest wait seen there under full load.
 */
export const VERSION_MARGIN = 1_000;

/** Versions that the operator has named, and which of them must be in force. */
export interface NamedVersions {
  /** Takes a name; an older one than known changes nothing. */
  readonly name: (
    model: ModelName,
    version: number,
    now: MonotonicInstant,
  ) => boolean;
  readonly newest: (model: ModelName) => number | undefined;
  /** The oldest version that may still start a request, if there is one. */
  readonly least: (
    model: ModelName,
    now: MonotonicInstant,
  ) => number | undefined;
  readonly all: () => ReadonlyMap<ModelName, number>;
}

interface Naming {
  readonly version: number;
  readonly knownSince: MonotonicInstant;
}

/**
 * Creates the memory of named versions.
 *
 * Each version has its bound from its own naming: one that is named later does
 * not put off the one before it.
 */
export function createNamedVersions(bound: Milliseconds): NamedVersions {
  const namings = new Map<ModelName, Naming[]>();

  return {
    name: (model, version, now) => {
      const known = namings.get(model) ?? [];
      if (version <= (known.at(-1)?.version ?? 0)) return false;
      namings.set(model, [...known, {version, knownSince: now}]);
      return true;
    },
    newest: model => namings.get(model)?.at(-1)?.version,
    least: (model, now) =>
      namings.get(model)?.findLast(({knownSince}) => now - knownSince >= bound)
        ?.version,
    all: () => {
      const newest = new Map<ModelName, number>();
      for (const [model, known] of namings) {
        newest.set(model, known.at(-1)?.version ?? 0);
      }
      return newest;
    },
  };
}
