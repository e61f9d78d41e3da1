/** Mean and standard deviation of the observed sizes. */
export interface SizeStatistics {
  readonly mean: number;
  readonly deviation: number;
}

/** Observed sizes by name. */
export interface RequestSizes {
  readonly record: (name: string, size: number) => void;
  /** Undefined before the first size. */
  readonly seen: (name: string) => SizeStatistics | undefined;
}

/**
 * Weight of one size. An entry sees some ten requests of a service per second,
 * and one in twenty is large: with a weight of 0.1 these would be forgotten.
 */
const WEIGHT = 0.03;

/** Deviation assumed for the first size, as a share of it. */
const FIRST_DEVIATION = 0.5;

interface Moments {
  readonly mean: number;
  readonly variance: number;
}

/** Creates empty statistics of request sizes. */
export function createRequestSizes(): RequestSizes {
  const names = new Map<string, Moments>();

  return {
    record: (name, size) => {
      const known = names.get(name);
      names.set(
        name,
        known === undefined ? createMoments(size) : updateMoments(known, size),
      );
    },
    seen: name => {
      const known = names.get(name);
      if (known === undefined) return undefined;
      return {mean: known.mean, deviation: Math.sqrt(known.variance)};
    },
  };
}

function createMoments(size: number): Moments {
  return {mean: size, variance: (size * FIRST_DEVIATION) ** 2};
}

function updateMoments({mean, variance}: Moments, size: number): Moments {
  const difference = size - mean;
  return {
    mean: mean + WEIGHT * difference,
    variance: (1 - WEIGHT) * (variance + WEIGHT * difference ** 2),
  };
}
