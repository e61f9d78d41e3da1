import {
  createTransferPacer,
  type Bytes,
  type BytesPerSecond,
} from '@hibiscusbeam/core';
import {setTimeout as sleep} from 'node:timers/promises';

/** Limits the rate of transfers in one direction of a link. */
export interface Pacer {
  /** Resolves when the link's share allows `bytes` more. */
  readonly acquire: (bytes: Bytes) => Promise<void>;
}

/** Creates the pacer of a link; it never waits if the rate is unknown. */
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
