import type {Bytes, BytesPerSecond} from '@hibiscusbeam/core';
import {setTimeout as sleep} from 'node:timers/promises';

/** Time that a pacer may make up for after a pause, in milliseconds. */
const BURST = 100;

/** Holds transfers to their share of one direction of a link. */
export interface Pacer {
  /** Waits until the share has carried `bytes` more. */
  readonly take: (bytes: Bytes) => Promise<void>;
}

/**
 * Creates a pacer for a link; with no known rate it never waits. Live requests
 * share the link: without a bound, a rollout would fill it on both ends and
 * their answers would queue behind chunks.
 */
export function createPacer(
  linkBytesPerSecond: BytesPerSecond | undefined,
  share: () => number,
  now: () => number,
): Pacer {
  let freeAt = 0;
  return {
    async take(bytes) {
      if (linkBytesPerSecond === undefined) return;
      const at = now();
      const start = Math.max(at - BURST, freeAt);
      freeAt = start + (bytes * 1000) / (linkBytesPerSecond * share());
      if (freeAt > at) await sleep(freeAt - at);
    },
  };
}
