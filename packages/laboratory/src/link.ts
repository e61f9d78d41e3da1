import type {Bytes, BytesPerSecond, MonotonicInstant} from '@hibiscusbeam/core';

/** One direction of a link; it carries pieces one after the other. */
export interface Link {
  /** Takes a piece that comes at `now`; returns when its last byte is through. */
  readonly transmit: (bytes: Bytes, now: MonotonicInstant) => MonotonicInstant;
}

/** Creates a link that is idle. */
export function createLink(rate: BytesPerSecond): Link {
  let idleAt: MonotonicInstant = 0;
  return {
    transmit: (bytes, now) => {
      idleAt = Math.max(now, idleAt) + (bytes * 1000) / rate;
      return idleAt;
    },
  };
}
