import type {Result} from 'ts-results';
import type {Flow} from '../kernel/flow';
import type {
  CommitEffect,
  CommitReply,
  Milliseconds,
  MonotonicInstant,
  ReadReply,
  ReadRowEffect,
  TableCondition,
  TableKey,
} from '../types';

/** Requests the current time of the driver's monotonic clock. */
export interface ReadClockEffect {
  readonly kind: 'readClock';
}

/** Reply to {@link ReadClockEffect}. */
export interface ClockReply {
  readonly kind: 'clock';
  readonly now: MonotonicInstant;
}

/** Effect that a lease flow requests from its driver. */
export type LeaseEffect = ReadRowEffect | CommitEffect | ReadClockEffect;

/** Reply of the driver to a lease flow. */
export type LeaseReply = ReadReply | CommitReply | ClockReply;

/**
 * Increases with each change of holder; a target refuses orders with a lower
 * number.
 */
export type FencingNumber = number;

/** Holder, row and duration of a lease. */
export interface LeaseSettings {
  readonly key: TableKey;
  /** Name shown to other holders and to operators. */
  readonly holder: string;
  /** Random token, unique to this start of the process. */
  readonly token: string;
  /**
   * Time that others wait without seeing the row change before they take over.
   */
  readonly duration: Milliseconds;
  /**
   * How much earlier the holder stops itself. It covers the rate difference of
   * two clocks over `duration` and the time that an order takes to reach its
   * target.
   */
  readonly margin: Milliseconds;
  /**
   * Additional conditions of each acquisition and renewal, besides the version
   * of the lease's own row.
   */
  readonly conditions?: readonly TableCondition[];
}

/** A lease that is held, from its holder's point of view. */
export interface HeldLease {
  readonly fencing: FencingNumber;
  /** The holder must not act from this instant on. */
  readonly until: MonotonicInstant;
}

/** Whether the holder may act at a given instant. */
export type LeaseCheck =
  | {
      readonly kind: 'mayAct';
      readonly fencing: FencingNumber;
      readonly remaining: Milliseconds;
    }
  | {readonly kind: 'mustNotAct'; readonly reason: 'notHeld' | 'ranOut'};

/** Why a lease was not acquired, renewed or released. */
export type LeaseError =
  | {
      readonly kind: 'heldByOther';
      readonly holder: string;
      readonly fencing: FencingNumber;
      /** Time until an attempt can succeed at the earliest. */
      readonly retryAfter: Milliseconds;
    }
  /** Another holder has the lease, or this holder never had it. */
  | {readonly kind: 'lost'}
  /** An additional condition failed; give up permanently. */
  | {readonly kind: 'replaced'}
  /** A later flow of the same lease has begun; its result counts. */
  | {readonly kind: 'superseded'}
  /** The write had no effect, or its effect is unknown; try again. */
  | {readonly kind: 'platformUnavailable'; readonly detail: string}
  | {readonly kind: 'malformedRow'; readonly detail: string}
  /** Other writers changed the row at each attempt; try again. */
  | {readonly kind: 'contended'};

/** A flow that reads and writes the lease's row. */
export type LeaseFlow<Value> = Flow<
  LeaseEffect,
  LeaseReply,
  Result<Value, LeaseError>
>;

/** One holder's view of one lease. */
export interface Lease {
  /**
   * Acquires the lease with a new fencing number, or returns when to try again.
   */
  readonly acquire: () => LeaseFlow<HeldLease>;
  /** Renews the lease with the same fencing number. */
  readonly renew: () => LeaseFlow<HeldLease>;
  /**
   * Stops acting immediately and lets others acquire the lease without a wait.
   */
  readonly release: () => LeaseFlow<void>;
  /**
   * Must be called right before each use. The time left counts from before the
   * last write was sent.
   */
  readonly mayAct: (now: MonotonicInstant) => LeaseCheck;
}
