import type {
  Bytes,
  BytesPerSecond,
  Milliseconds,
  MonotonicInstant,
} from '../types';

/** Max unused time that transfers may catch up on after a pause. */
const MAX_BURST: Milliseconds = 100;

/** Limits transfers to their share of one direction of a link. */
export interface TransferPacer {
  /**
   * Reserves bandwidth for `bytes` and returns the time at which they have been
   * sent.
   */
  readonly reserve: (bytes: Bytes, now: MonotonicInstant) => MonotonicInstant;
}

/**
 * Creates the pacer of one direction of a link; without a known rate it never
 * delays. Live requests share the link: unpaced, a rollout would saturate it at
 * both ends and their responses would queue behind chunks.
 */
export function createTransferPacer(
  linkBytesPerSecond: BytesPerSecond | undefined,
  share: () => number,
): TransferPacer {
  let freeAt: MonotonicInstant = 0;
  return {
    reserve: (bytes, now) => {
      if (linkBytesPerSecond === undefined) return now;
      const start = Math.max(now - MAX_BURST, freeAt);
      freeAt = start + (bytes * 1000) / (linkBytesPerSecond * share());
      return Math.max(now, freeAt);
    },
  };
}
