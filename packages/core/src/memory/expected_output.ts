import type {SizeStatistics} from './request_sizes';

/** What is known about the output length of a request. */
export interface OutputEstimates {
  /** The caller's hint; undefined if there is none. */
  readonly hint: number | undefined;
  /**
   * Maximum number of tokens that the engine generates; undefined if the
   * request sets none.
   */
  readonly most: number | undefined;
  /** Observed outputs of the request's route. */
  readonly seen: SizeStatistics | undefined;
}

/** Deviations above the route's mean up to which a hint is used. */
const MAX_HINT_DEVIATIONS = 4;

/**
 * Returns the maximum number of tokens that a request will generate, for an
 * engine's memory.
 *
 * A hint counts between the route's mean and four deviations above it, and
 * never above the maximum that the engine enforces. Used as they are, hints of
 * 0 tokens for responses of 2,000 tokens let the engine run out of memory, and
 * with hints of 10^9 no engine has room. On a route without observations, the
 * maximum counts, up to `maxUnseen`.
 */
export function outputToReserve(
  {hint, most, seen}: OutputEstimates,
  maxUnseen: number,
): number {
  if (seen === undefined) return Math.min(most ?? hint ?? 0, maxUnseen);
  const {mean, deviation} = seen;
  const maxHint = mean + MAX_HINT_DEVIATIONS * deviation;
  const bounded = Math.max(mean, Math.min(hint ?? mean, maxHint));
  return Math.min(bounded, most ?? Infinity);
}

/** Returns the expected number of tokens that a request generates. */
export function outputToExpect({hint, most, seen}: OutputEstimates): number {
  const expected = hint ?? seen?.mean ?? most ?? 0;
  return Math.min(expected, most ?? Infinity);
}
