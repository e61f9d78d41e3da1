import type {
  Bytes,
  BytesPerSecond,
  Milliseconds,
  MonotonicInstant,
} from '../types';

/** Time that a pace may make up for after a pause. */
const MAX_BURST: Milliseconds = 100;

/** Holds transfers to their share of one direction of a link. */
export interface TransferPacer {
  /** Takes `bytes` more; returns when the share has carried them. */
  readonly reserve: (bytes: Bytes, now: MonotonicInstant) => MonotonicInstant;
}

/**
 * Creates the pace of a link; with no known rate nothing waits. Live requests
 * share the link: without a bound, a rollout would fill it on both ends and
 * their answers would queue behind chunks.
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
