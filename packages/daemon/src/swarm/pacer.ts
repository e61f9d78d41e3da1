import {
  createTransferPacer,
  type Bytes,
  type BytesPerSecond,
} from '@hibiscusbeam/core';
import {setTimeout as sleep} from 'node:timers/promises';

/** Lets transfers wait for their share of one direction of a link. */
export interface Pacer {
  /** Waits until the share has carried `bytes` more. */
  readonly take: (bytes: Bytes) => Promise<void>;
}

/** Creates a pacer for a link; with no known rate it never waits. */
export function createPacer(
  linkBytesPerSecond: BytesPerSecond | undefined,
  share: () => number,
  now: () => number,
): Pacer {
  const pace = createTransferPacer(linkBytesPerSecond, share);
  return {
    async take(bytes) {
      const at = now();
      const freeAt = pace.reserve(bytes, at);
      if (freeAt > at) await sleep(freeAt - at);
    },
  };
}
