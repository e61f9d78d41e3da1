import type {Bytes, Milliseconds} from '../types';

/** A peer for which bytes are buffered. */
export interface BufferedReader {
  /** Bytes that wait for it. */
  readonly held: Bytes;
  /** How long it has taken none of them. */
  readonly stalledFor: Milliseconds;
}

/** Part of the mean of what readers hold from which one is worth its loss. */
const MIN_DROP_SHARE = 0.5;

/**
 * The readers to drop so that the others hold `bound` bytes at most, in order:
 * the one that has taken nothing for longest goes first.
 *
 * Failure: one reader that holds megabytes brings an entry beyond its bound, and
 * many that hold a few hundred bytes, and have waited a little longer, are dropped
 * for it. Guard: only readers that hold half of the mean at least are dropped.
 */
export function selectReadersToDrop<Reader extends BufferedReader>(
  readers: readonly Reader[],
  bound: Bytes,
): readonly Reader[] {
  let holding = readers.filter(({held}) => held > 0);
  let total = holding.reduce((sum, {held}) => sum + held, 0);
  const dropped: Reader[] = [];
  while (total > bound) {
    const least = (total / holding.length) * MIN_DROP_SHARE;
    const slowest = holding
      .filter(({held}) => held >= least)
      .reduce((one, other) => (isSlower(other, one) ? other : one));
    dropped.push(slowest);
    holding = holding.filter(reader => reader !== slowest);
    total = holding.reduce((sum, {held}) => sum + held, 0);
  }
  return dropped;
}

function isSlower(one: BufferedReader, other: BufferedReader): boolean {
  if (one.stalledFor !== other.stalledFor) {
    return one.stalledFor > other.stalledFor;
  }
  return one.held > other.held;
}
