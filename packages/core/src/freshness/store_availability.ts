import type {MonotonicInstant} from '../types';

/** How a question to the store ended. */
export type StoreCallOutcome =
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
export interface StoreAvailability {
  /** Notes how a question ended that left at `askedAt`. */
  readonly record: (
    requestedAt: MonotonicInstant,
    outcome: StoreCallOutcome,
  ) => void;
  /**
   * Whether the newest question, asked after `readAt`, showed that the store does
   * not serve. A late answer or a full link doesn't show that.
   */
  readonly isUnavailableSince: (readAt: MonotonicInstant) => boolean;
}

/** Creates the memory of the newest question; `onAnswer` is told of each answer. */
export function createStoreAvailability(
  onAnswer: () => void = () => undefined,
): StoreAvailability {
  let newest: MonotonicInstant = -Infinity;
  let isUnavailable = false;

  return {
    record: (requestedAt, outcome) => {
      if (outcome === 'answered') onAnswer();
      if (requestedAt < newest) return;
      newest = requestedAt;
      isUnavailable = outcome === 'turnedAway' || outcome === 'silent';
    },
    isUnavailableSince: readAt => isUnavailable && newest >= readAt,
  };
}
