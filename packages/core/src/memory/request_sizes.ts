/** Mean and standard deviation of what was seen. */
export interface SizeStatistics {
  readonly mean: number;
  readonly deviation: number;
}

/** Sizes that were seen, by name. */
export interface RequestSizes {
  readonly record: (name: string, size: number) => void;
  /** Undefined before anything was seen. */
  readonly seen: (name: string) => SizeStatistics | undefined;
}

/**
 * Weight of one size. An entry sees some ten requests of a service each second,
 * and one in twenty is large: with a weight of 0.1 these would be forgotten.
 */
const WEIGHT = 0.03;

/** Deviation that the first size counts with, as a share of it. */
const FIRST_DEVIATION = 0.5;

interface Moments {
  readonly mean: number;
  readonly variance: number;
}

/** Creates a memory of the sizes of requests. */
export function createRequestSizes(): RequestSizes {
  const names = new Map<string, Moments>();

  return {
    record: (name, size) => {
      const known = names.get(name);
      names.set(name, known === undefined ? first(size) : move(known, size));
    },
    seen: name => {
      const known = names.get(name);
      if (known === undefined) return undefined;
      return {mean: known.mean, deviation: Math.sqrt(known.variance)};
    },
  };
}

function first(size: number): Moments {
  return {mean: size, variance: (size * FIRST_DEVIATION) ** 2};
}

function move({mean, variance}: Moments, size: number): Moments {
  const difference = size - mean;
  return {
    mean: mean + WEIGHT * difference,
    variance: (1 - WEIGHT) * (variance + WEIGHT * difference ** 2),
  };
}
