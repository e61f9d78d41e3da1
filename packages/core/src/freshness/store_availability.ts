import type {MonotonicInstant} from '../types';

/** Outcome of a request to the store. */
export type StoreCallOutcome =
  | 'answered'
  /**
   * The store refused the request without doing anything, or closed the
   * connection.
   */
  | 'turnedAway'
  /** The store accepted the connection and sent nothing. */
  | 'silent'
  /** The answer has begun, or may have, but was not complete in time. */
  | 'underWay'
  /** No connection was established in time. */
  | 'notReached';

/** Tracks whether the store itself has stopped serving this process. */
export interface StoreAvailability {
  /** Records the outcome of a request sent at `requestedAt`. */
  readonly record: (
    requestedAt: MonotonicInstant,
    outcome: StoreCallOutcome,
  ) => void;
  /**
   * Whether the newest request, sent after `readAt`, showed that the store does
   * not serve. A late answer or a saturated link does not show that.
   */
  readonly isUnavailableSince: (readAt: MonotonicInstant) => boolean;
}

/**
 * Creates a tracker of the newest request; `onAnswer` is called on each answer.
 */
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
