import type {RouteKind} from '../routes';
import type {Milliseconds} from '../types';

/** What is known about a request that is to be forwarded. */
export interface ForwardedRequest {
  readonly kind: RouteKind;
  readonly resumable: boolean;
  /** Maximum number of targets that may run it. */
  readonly attempts: number;
}

/** Why it is certain that a target has not run a request. */
export type NotRunCause =
  /** No byte of the request left this process. */
  | 'notConnected'
  /**
   * No byte left this process, since nothing listens at the target's address.
   */
  | 'connectionRefused'
  /** It was no longer allowed to begin there by the time it could be sent. */
  | 'outdated'
  /** The target reports that it did not run it; it is full or leaving. */
  | 'refusedByTarget'
  /** Another target, or another version, answers at the address. */
  | 'misdirected';

/** Why the outcome of a request that was sent is unknown. */
export type UnknownCause =
  | 'connectionLost'
  | 'malformedAnswer'
  | 'foreignAnswer'
  /** It was withdrawn before it began, at the bound of its target's version. */
  | 'withdrawn';

/** The end or the current state of one attempt at a target. */
export type AttemptOutcome = AttemptEnd | AttemptState;

/** How one attempt at a target ended. */
export type AttemptEnd =
  /** A complete answer is available, not yet forwarded. */
  | {readonly kind: 'answered'; readonly success: boolean}
  /** A stream was forwarded to its end. */
  | {readonly kind: 'streamed'}
  | {readonly kind: 'notRun'; readonly cause: NotRunCause}
  | {readonly kind: 'unknown'; readonly cause: UnknownCause}
  /** Events were forwarded, then the stream broke. */
  | {
      readonly kind: 'broken';
      readonly cause: UnknownCause;
      readonly lastEventId: string | undefined;
    }
  | {readonly kind: 'timedOut'}
  | {readonly kind: 'callerGone'};

/** The state of an attempt that is still in flight. */
export type AttemptState =
  /** Nothing has arrived for a while; its target is suspected to have ended. */
  | {
      readonly kind: 'silent';
      /** Whether events have reached the caller, and the last one's id. */
      readonly streamBegun: boolean;
      readonly lastEventId: string | undefined;
    }
  /** Bytes arrive again. */
  | {readonly kind: 'goesOn'}
  /**
   * Its target is to load weights, so the stream should continue at another
   * one. The retry that this takes is already charged.
   */
  | {readonly kind: 'handedOn'; readonly lastEventId: string};

/** The result of choosing a target. */
export type SlotReply<Target> =
  | {readonly kind: 'place'; readonly target: Target}
  | {
      readonly kind: 'noPlace';
      readonly reason: NoSlotReason;
      /** How long the caller should wait before it retries. */
      readonly retryAfter: Milliseconds;
    }
  | {readonly kind: 'timedOut'}
  | {readonly kind: 'callerGone'};

/** Why no target accepts a request. */
export type NoSlotReason =
  | 'noTarget'
  | 'allFull'
  /** All targets of the service are leaving. */
  | 'targetsLeaving'
  /** All remaining targets are in zones that are being evacuated. */
  | 'targetsEvacuated'
  /** Its route and its workspace allow no region in common. */
  | 'noAllowedRegion'
  /** All remaining targets have asked this entry to back off. */
  | 'targetsBackingOff'
  | 'leaving'
  | 'outdatedTargets'
  /** Demand exceeds the engines' capacity, and other requests go first. */
  | 'belowLevel'
  /** Targets have ended while running it, here or at other entries. */
  | 'quarantined';

/** The effects that the flow yields to its driver. */
export type ForwardEffect<Target> =
  | {readonly kind: 'choosePlace'; readonly tried: readonly Target[]}
  | {
      readonly kind: 'send';
      readonly target: Target;
      /**
       * Resume after this event, or after a later one that has reached the
       * caller since; undefined for a run from the start.
       */
      readonly resumeAfter: string | undefined;
    }
  /** Waits for the next report of the attempts in flight. */
  | {
      readonly kind: 'wait';
      /** Whether a denied retry is wanted as soon as it is allowed. */
      readonly wantsRetry: boolean;
    }
  /** Asks whether the site's retry budget allows one more attempt. */
  | {readonly kind: 'takeRepeat'};

/** A report of one of the request's attempts. */
export interface AttemptReport {
  readonly kind: 'sent';
  readonly outcome: AttemptOutcome;
  /** Attempts of the request that are still in flight. */
  readonly attemptsInFlight: number;
  /** How many of these are silent. */
  readonly silent: number;
}

/**
 * Replies to the flow's effects. A report may also answer `choosePlace`; the
 * wait for a slot is then withdrawn. `repeat` answers `takeRepeat`, and also
 * `wait` if a retry is wanted.
 */
export type ForwardReply<Target> =
  | {readonly kind: 'placed'; readonly place: SlotReply<Target>}
  | AttemptReport
  | {readonly kind: 'repeat'; readonly allowed: boolean};

/** The final answer of a request. */
export type ForwardResult =
  /** Forward the last complete answer. */
  | {readonly kind: 'passOn'}
  | {readonly kind: 'streamed'}
  | {
      readonly kind: 'notRun';
      readonly reason: NoSlotReason | NotRunCause;
      readonly retryAfter: Milliseconds | undefined;
    }
  | {readonly kind: 'unknown'; readonly cause: UnknownCause}
  /** A stream that ends here and must not look complete. */
  | {readonly kind: 'cut'; readonly cause: UnknownCause | 'timedOut'}
  | {readonly kind: 'timedOut'; readonly mayHaveRun: boolean}
  | {readonly kind: 'callerGone'};
