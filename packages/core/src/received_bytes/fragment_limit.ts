import {isFragment} from '../memory';
import type {Bytes, MonotonicInstant} from '../types';

/** Fragments that may arrive at once, whatever their size. */
const MAX_BURST = 4_096;

/** Fragments of at least this mean size may arrive without end. */
const MIN_MEAN_SIZE: Bytes = 64;

/** Fragments in a second that may arrive without end. */
const MAX_RATE = 2_000;

/** Limits in how many small parts an answer arrives. */
export interface FragmentLimit {
  /** Records a part; returns whether there have been too many small ones. */
  readonly isExceededBy: (part: Bytes) => boolean;
}

/**
 * Creates the limit of one answer. Each part takes some microseconds, however
 * small it is: with a few answers in parts of one byte, a process has no time
 * left for others.
 */
export function createFragmentLimit(
  clock: () => MonotonicInstant,
): FragmentLimit {
  const since = clock();
  let fragments = 0;
  let received: Bytes = 0;
  return {
    isExceededBy: part => {
      received += part;
      if (!isFragment(part)) return false;
      fragments += 1;
      const bySize = MAX_BURST + received / MIN_MEAN_SIZE;
      if (fragments <= bySize) return false;
      const seconds = (clock() - since) / 1_000;
      return fragments > bySize + seconds * MAX_RATE;
    },
  };
}
