import type {Bytes, BytesPerSecond, MonotonicInstant} from '@hibiscusbeam/core';

/** One direction of a network link, which sends pieces one after the other. */
export interface Link {
  /**
   * Sends a piece that arrives at `now`; returns when its last byte is sent.
   */
  readonly transmit: (bytes: Bytes, now: MonotonicInstant) => MonotonicInstant;
}

/** Creates an idle link. */
export function createLink(rate: BytesPerSecond): Link {
  let idleAt: MonotonicInstant = 0;
  return {
    transmit: (bytes, now) => {
      idleAt = Math.max(now, idleAt) + (bytes * 1000) / rate;
      return idleAt;
    },
  };
}
