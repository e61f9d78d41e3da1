import type {MonotonicInstant} from '../types';

/** How a question to the store ended. */
export type StoreSign =
  | 'answered'
  /** It says that it does nothing, or ends the connection. */
  | 'turnedAway'
  /** It takes the connection and sends nothing. */
  | 'silent'
  /** Its answer has begun, or may have, and did not come in time. */
  | 'underWay'
  /** No connection in time. */
  | 'notReached';

/** Knows whether the store itself has stopped to serve this process. */
export interface StoreContact {
  /** Notes how a question ended that left at `askedAt`. */
  readonly note: (askedAt: MonotonicInstant, sign: StoreSign) => void;
  /**
   * Whether the store was seen not to serve after `readAt`, and not to answer
   * since. Answers that are merely late, or a store that is not reached, show
   * nothing of the kind: others may be served.
   */
  readonly isAwaySince: (readAt: MonotonicInstant) => boolean;
}

/** Creates the memory of the newest question. */
export function createStoreContact(): StoreContact {
  let newest: MonotonicInstant = -Infinity;
  let isAway = false;

  return {
    note: (askedAt, sign) => {
      if (askedAt < newest) return;
      newest = askedAt;
      isAway = sign === 'turnedAway' || sign === 'silent';
    },
    isAwaySince: readAt => isAway && newest >= readAt,
  };
}
