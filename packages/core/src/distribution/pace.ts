import type {
  Bytes,
  BytesPerSecond,
  Milliseconds,
  MonotonicInstant,
} from '../types';

/** Time that a pace may make up for after a pause. */
const BURST: Milliseconds = 100;

/** Holds transfers to their share of one direction of a link. */
export interface Pace {
  /** Takes `bytes` more; returns when the share has carried them. */
  readonly take: (bytes: Bytes, now: MonotonicInstant) => MonotonicInstant;
}

/**
 * Creates the pace of a link; with no known rate nothing waits. Live requests
 * share the link: without a bound, a rollout would fill it on both ends and
 * their answers would queue behind chunks.
 */
export function createPace(
  linkBytesPerSecond: BytesPerSecond | undefined,
  share: () => number,
): Pace {
  let freeAt: MonotonicInstant = 0;
  return {
    take: (bytes, now) => {
      if (linkBytesPerSecond === undefined) return now;
      const start = Math.max(now - BURST, freeAt);
      freeAt = start + (bytes * 1000) / (linkBytesPerSecond * share());
      return Math.max(now, freeAt);
    },
  };
}
