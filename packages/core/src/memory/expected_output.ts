import type {SizeStatistics} from './request_sizes';

/** What is said of a request's output, and what was seen of its route. */
export interface OutputEstimates {
  /** The caller's hint; undefined if there is none. */
  readonly hint: number | undefined;
  /** Most tokens that the engine writes; undefined if the request names none. */
  readonly most: number | undefined;
  readonly seen: SizeStatistics | undefined;
}

/** Deviations above the route's mean up to which a hint is believed. */
const BELIEVED_DEVIATIONS = 4;

/**
 * Tokens that a request will write at most, as far as an engine's memory goes.
 *
 * Failure: callers hint at 0 tokens and get 2,000 each, and the engine ends for
 * want of memory; or they hint at 10^9, and nothing has room for them. Guard: a
 * hint counts between the route's mean and four deviations above it, and never
 * above the maximum that the engine keeps to. On a route of which nothing was
 * seen yet, the maximum counts, up to `mostUnseen`.
 */
export function outputToReserve(
  {hint, most, seen}: OutputEstimates,
  maxUnseen: number,
): number {
  if (seen === undefined) return Math.min(most ?? hint ?? 0, maxUnseen);
  const {mean, deviation} = seen;
  const longest = mean + BELIEVED_DEVIATIONS * deviation;
  const believed = Math.max(mean, Math.min(hint ?? mean, longest));
  return Math.min(believed, most ?? Infinity);
}

/** Tokens that a request will probably write. */
export function outputToExpect({hint, most, seen}: OutputEstimates): number {
  const expected = hint ?? seen?.mean ?? most ?? 0;
  return Math.min(expected, most ?? Infinity);
}
