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
   * Whether the newest question, asked after `readAt`, showed that the store does
   * not serve. A late answer or a full link doesn't show that.
   */
  readonly isAwaySince: (readAt: MonotonicInstant) => boolean;
}

/** Creates the memory of the newest question; `onAnswer` is told of each answer. */
export function createStoreContact(
  onAnswer: () => void = () => undefined,
): StoreContact {
  let newest: MonotonicInstant = -Infinity;
  let isAway = false;

  return {
    note: (askedAt, sign) => {
      if (sign === 'answered') onAnswer();
      if (askedAt < newest) return;
      newest = askedAt;
      isAway = sign === 'turnedAway' || sign === 'silent';
    },
    isAwaySince: readAt => isAway && newest >= readAt,
  };
}
