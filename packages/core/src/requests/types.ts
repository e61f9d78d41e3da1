import type {Flow} from '../kernel/flow';
import type {
  AttemptId,
  Bytes,
  CommitEffect,
  CommitReply,
  Digest,
  Incarnation,
  InstanceName,
  Milliseconds,
  MonotonicInstant,
  NotRunReason,
  PlatformError,
  ReadReply,
  ReadRowEffect,
  RequestOutcome,
  TargetName,
  VersionDigest,
} from '../types';
import type {Result} from 'ts-results';
import type {DispatchEffect} from './evidence';

/** Hashes bytes incrementally; `finish` may be called once. */
export interface Digester {
  readonly update: (bytes: Uint8Array) => void;
  readonly finish: () => Digest;
}

/** Starts a SHA-256 digest; injected, since core does no I/O. */
export type CreateDigester = () => Digester;

/** The one agent incarnation that may start an attempt. */
export interface AttemptAddress {
  readonly attempt: AttemptId;
  readonly target: TargetName;
  /** The agent's instance; the row `agents/<instance>` has its incarnation. */
  readonly instance: InstanceName;
  readonly incarnation: Incarnation;
}

/** A complete answer, checked against its end frame. */
export interface CompleteAnswer {
  readonly attempt: AttemptId;
  readonly versionDigest: VersionDigest | undefined;
  /** Contents of the data frames in order. */
  readonly frames: readonly Uint8Array[];
  /** SHA-256 over all contents in order. */
  readonly digest: Digest;
}

/** A frame that an agent sends for an attempt; `ServeFrame` on the wire. */
export type AttemptFrame =
  | {
      readonly kind: 'started';
      readonly attempt: AttemptId;
      /** Absent for a plain service. */
      readonly versionDigest: VersionDigest | undefined;
      readonly incarnation: Incarnation;
    }
  | {
      readonly kind: 'data';
      readonly attempt: AttemptId;
      /** Increases by one from 0. */
      readonly sequence: number;
      readonly content: Uint8Array;
    }
  | {
      readonly kind: 'end';
      readonly attempt: AttemptId;
      readonly frameCount: number;
      readonly digest: Digest;
    };

/**
 * The agent's confirmation that it has not started the attempt and never will.
 */
export interface RefusedEvent {
  readonly kind: 'refused';
  readonly attempt: AttemptId;
  readonly incarnation: Incarnation;
  readonly reason: NotRunReason;
  readonly retryAfter: Milliseconds;
}

/** What can happen to an attempt that was dispatched. */
export type AttemptEvent =
  | AttemptFrame
  | RefusedEvent
  /** The agent gave up on it; it may have run. */
  | {
      readonly kind: 'failed';
      readonly attempt: AttemptId;
      readonly detail: string;
    }
  /** The stream broke off, or could not be opened. It may have run. */
  | {readonly kind: 'cut'; readonly detail: string}
  /** No event arrived before the instant that the effect names. */
  | {readonly kind: 'timedOut'}
  | {readonly kind: 'callerGone'};

/** An agent's answer to a tombstone request for one attempt. */
export interface TombstoneAnswer {
  readonly attempt: AttemptId;
  /** Incarnation of the agent that answers. */
  readonly incarnation: Incarnation;
  readonly state:
    /** Never started, and never will. */
    | 'tombstoned'
    | 'started'
    | 'finished'
    /** The record was dropped: it may have run, but won't from now on. */
    | 'forgotten'
    /** The agent is another incarnation and can't know. */
    | 'otherIncarnation';
}

/** Waits for the next event of a dispatched or collected attempt. */
export interface AwaitEventEffect {
  readonly kind: 'awaitEvent';
  readonly attempt: AttemptId;
  /** The driver replies `timedOut` at this instant. */
  readonly until: MonotonicInstant;
}

/** Asks the agent to replay a finished answer. Never starts anything. */
export interface CollectEffect {
  readonly kind: 'collect';
  readonly address: AttemptAddress;
  readonly until: MonotonicInstant;
}

/** Cancels an attempt; the agent may stop its work. */
export interface CancelEffect {
  readonly kind: 'cancel';
  readonly address: AttemptAddress;
}

/** Asks the agent to ensure that the attempt never starts. */
export interface TombstoneEffect {
  readonly kind: 'tombstone';
  readonly address: AttemptAddress;
  /** The driver replies without an answer at this instant. */
  readonly until: MonotonicInstant;
}

/** Pauses the flow. */
export interface WaitEffect {
  readonly kind: 'wait';
  readonly duration: Milliseconds;
}

/**
 * Requests a target from routing; the driver may queue the request until
 * `until`.
 */
export interface ChooseTargetEffect {
  readonly kind: 'chooseTarget';
  readonly exclude: readonly TargetName[];
  /** Set once the answer has a version: only targets that serve it qualify. */
  readonly versionDigest: VersionDigest | undefined;
  readonly until: MonotonicInstant;
}

/** Sends a frame of the answer to the caller. */
export interface EmitEffect {
  readonly kind: 'emit';
  readonly frame:
    | {
        readonly kind: 'started';
        readonly versionDigest: VersionDigest | undefined;
      }
    | {
        readonly kind: 'data';
        readonly sequence: number;
        readonly content: Uint8Array;
      }
    | {
        readonly kind: 'end';
        readonly frameCount: number;
        readonly digest: Digest;
      };
}

/** Stores bytes in the object store. */
export interface PutObjectEffect {
  readonly kind: 'putObject';
  readonly key: string;
  readonly content: Uint8Array;
}

/** Reads bytes from the object store. */
export interface GetObjectEffect {
  readonly kind: 'getObject';
  readonly key: string;
}

/** All effects that a request flow yields to its driver. */
export type RequestEffect =
  | ReadRowEffect
  | CommitEffect
  | DispatchEffect
  | AwaitEventEffect
  | CollectEffect
  | CancelEffect
  | TombstoneEffect
  | WaitEffect
  | ChooseTargetEffect
  | EmitEffect
  | PutObjectEffect
  | GetObjectEffect;

/** Routing's answer to {@link ChooseTargetEffect}. */
export type TargetChoice =
  | {
      readonly kind: 'target';
      readonly target: TargetName;
      readonly instance: InstanceName;
      readonly incarnation: Incarnation;
    }
  | {
      readonly kind: 'none';
      readonly reason: NotRunReason;
      readonly retryAfter: Milliseconds;
    };

/**
 * The driver's replies. `dispatch`, `collect` and `awaitEvent` get `event`;
 * `emit` and `cancel` get `done` or `callerGone`; `wait` gets `done`.
 */
export type RequestReply =
  | ReadReply
  | CommitReply
  | {readonly kind: 'event'; readonly event: AttemptEvent}
  | {
      readonly kind: 'tombstone';
      /** `undefined` if no answer arrived. */
      readonly answer: TombstoneAnswer | undefined;
    }
  | {readonly kind: 'choice'; readonly choice: TargetChoice}
  | {readonly kind: 'done'}
  | {readonly kind: 'callerGone'}
  | {readonly kind: 'stored'; readonly result: Result<void, PlatformError>}
  | {
      readonly kind: 'object';
      readonly result: Result<Uint8Array, PlatformError>;
    };

/** A request flow or a step of one. */
export type RequestFlow<Outcome> = Flow<RequestEffect, RequestReply, Outcome>;

/** The result of a request, with the answer's bytes if there are any. */
export interface RequestResult {
  readonly outcome: RequestOutcome;
  /** Present if answered by a flow that does not emit. */
  readonly answer: CompleteAnswer | undefined;
}

/** Bounds on one answer. */
export interface AnswerLimits {
  /** Maximum size of an answer; a larger one fails. */
  readonly answerBytes: Bytes;
}
