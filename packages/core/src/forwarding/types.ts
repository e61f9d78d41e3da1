import type {RouteKind} from '../routes';
import type {Milliseconds} from '../types';

/** What is known of a request when it is to be forwarded. */
export interface ForwardedRequest {
  readonly kind: RouteKind;
  readonly resumable: boolean;
  /** Most targets that may run it. */
  readonly attempts: number;
}

/** Why a target has surely not run a request. */
export type NotRunCause =
  /** No byte of the request left this process. */
  | 'notConnected'
  /** The same, since nothing listens at the target's address. */
  | 'connectionRefused'
  /** By the time it could be sent, it might not begin there any more. */
  | 'outdated'
  /** The target says so and is full or leaving. */
  | 'refusedByTarget'
  /** Another target, or another version, answers at the address. */
  | 'misdirected';

/** Why nothing is known of a request that was sent. */
export type UnknownCause =
  'connectionLost' | 'malformedAnswer' | 'foreignAnswer';

/** What became of one send to a target. */
export type AttemptOutcome = AttemptEnd | AttemptState;

/** How one send to a target ended. */
export type AttemptEnd =
  /** A whole answer is at hand, not yet passed on. */
  | {readonly kind: 'answered'; readonly success: boolean}
  /** A stream was passed on to its end. */
  | {readonly kind: 'streamed'}
  | {readonly kind: 'notRun'; readonly cause: NotRunCause}
  | {readonly kind: 'unknown'; readonly cause: UnknownCause}
  /** Events were passed on, then the stream broke. */
  | {
      readonly kind: 'broken';
      readonly cause: UnknownCause;
      readonly lastEventId: string | undefined;
    }
  | {readonly kind: 'timedOut'}
  | {readonly kind: 'callerGone'};

/** What is seen of a send that is still under way. */
export type AttemptState =
  /** Nothing has come for a while; its target is suspected to have ended. */
  | {
      readonly kind: 'silent';
      /** Whether events have reached the caller, and the last one's id. */
      readonly streamBegun: boolean;
      readonly lastEventId: string | undefined;
    }
  /** Bytes come again. */
  | {readonly kind: 'goesOn'}
  /**
   * Its target is to load weights, so that the stream should go on elsewhere.
   * The repeat that this takes is already paid.
   */
  | {readonly kind: 'handedOn'; readonly lastEventId: string};

/** What choosing a target came to. */
export type SlotReply<Target> =
  | {readonly kind: 'place'; readonly target: Target}
  | {
      readonly kind: 'noPlace';
      readonly reason: NoSlotReason;
      /** When a caller should come back. */
      readonly retryAfter: Milliseconds;
    }
  | {readonly kind: 'timedOut'}
  | {readonly kind: 'callerGone'};

/** Why no target takes a request. */
export type NoSlotReason =
  | 'noTarget'
  | 'allFull'
  /** All targets of the service leave. */
  | 'targetsLeaving'
  /** All that stay are in zones that are being evacuated. */
  | 'targetsEvacuated'
  /** Its route and its workspace allow no region in common. */
  | 'noAllowedRegion'
  /** All that stay want no request of this entry for a while. */
  | 'targetsBackingOff'
  | 'leaving'
  | 'outdatedTargets'
  /** Callers ask for more than the engines give, and others go first. */
  | 'belowLevel'
  /** Targets have ended under it, here or at other entries. */
  | 'quarantined';

/** What the flow asks of its driver. */
export type ForwardEffect<Target> =
  | {readonly kind: 'choosePlace'; readonly tried: readonly Target[]}
  | {
      readonly kind: 'send';
      readonly target: Target;
      /**
       * Go on after this event, or a later one that has reached the caller
       * since; undefined for a run from the start.
       */
      readonly resumeAfter: string | undefined;
    }
  /** Waits for the next report of the sends under way. */
  | {
      readonly kind: 'wait';
      /** Whether a repeat that was denied is wanted as soon as it is allowed. */
      readonly wantsRetry: boolean;
    }
  /** Asks whether the site's budget allows one more send. */
  | {readonly kind: 'takeRepeat'};

/** A report of one of the request's sends. */
export interface AttemptReport {
  readonly kind: 'sent';
  readonly outcome: AttemptOutcome;
  /** Sends of the request that are still under way. */
  readonly attemptsInFlight: number;
  /** How many of these are silent. */
  readonly silent: number;
}

/**
 * Answers to the flow's effects. A report may also answer `choosePlace`; the
 * wait for a place is then withdrawn. A repeat answers `wait` if it is wanted.
 */
export type ForwardReply<Target> =
  | {readonly kind: 'placed'; readonly place: SlotReply<Target>}
  | AttemptReport
  | {readonly kind: 'repeat'; readonly allowed: boolean};

/** The final answer of a request. */
export type ForwardResult =
  /** Pass on the last whole answer. */
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
