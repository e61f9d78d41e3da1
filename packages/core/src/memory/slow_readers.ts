import type {Bytes, Milliseconds} from '../types';

/** A peer for which data is buffered. */
export interface BufferedReader {
  /** Bytes that wait for it. */
  readonly held: Bytes;
  /** How long it has read none of them. */
  readonly stalledFor: Milliseconds;
}

/** Minimum share of the mean buffer size for a reader to be dropped. */
const MIN_DROP_SHARE = 0.5;

/**
 * Returns the readers to drop so that the others hold at most `bound` bytes:
 * the one that has stalled for longest goes first.
 *
 * Only readers that hold at least half of the mean are dropped. Otherwise, if
 * one reader with megabytes exceeds the bound, many that hold a few hundred
 * bytes and have waited a little longer are dropped for it.
 */
export function selectReadersToDrop<Reader extends BufferedReader>(
  readers: readonly Reader[],
  bound: Bytes,
): readonly Reader[] {
  let holding = readers.filter(({held}) => held > 0);
  let total = holding.reduce((sum, {held}) => sum + held, 0);
  const dropped: Reader[] = [];
  while (total > bound) {
    const minHeld = (total / holding.length) * MIN_DROP_SHARE;
    const slowest = holding
      .filter(({held}) => held >= minHeld)
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
