import {
  createTransferPacer,
  type Bytes,
  type BytesPerSecond,
} from '@hibiscusbeam/core';
import {setTimeout as sleep} from 'node:timers/promises';

/** Lets transfers wait for their share of one direction of a link. */
export interface Pacer {
  /** Waits until the share has carried `bytes` more. */
  readonly acquire: (bytes: Bytes) => Promise<void>;
}

/** Creates a pacer for a link; with no known rate it never waits. */
export function createPacer(
  linkBytesPerSecond: BytesPerSecond | undefined,
  share: () => number,
  now: () => number,
): Pacer {
  const transferPacer = createTransferPacer(linkBytesPerSecond, share);
  return {
    async acquire(bytes) {
      const at = now();
      const freeAt = transferPacer.reserve(bytes, at);
      if (freeAt > at) await sleep(freeAt - at);
    },
  };
}
