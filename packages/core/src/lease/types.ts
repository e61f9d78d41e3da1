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

/** Asks the driver for its monotonic clock at this moment. */
export interface ReadClockEffect {
  readonly kind: 'readClock';
}

/** Reply to {@link ReadClockEffect}. */
export interface ClockReply {
  readonly kind: 'clock';
  readonly now: MonotonicInstant;
}

/** What a lease flow asks of its driver. */
export type LeaseEffect = ReadRowEffect | CommitEffect | ReadClockEffect;

/** What the driver answers to a lease flow. */
export type LeaseReply = ReadReply | CommitReply | ClockReply;

/** Raised at each change of holder; a target refuses a lower one. */
export type FencingNumber = number;

/** Who wants the lease, on which row and for how long. */
export interface LeaseSettings {
  readonly key: TableKey;
  /** Name shown to others and to operators. */
  readonly holder: string;
  /** Random and unique to this start of the process. */
  readonly token: string;
  /** How long others wait without seeing the row change. */
  readonly duration: Milliseconds;
  /**
   * How much earlier the holder stops itself. It covers the difference in
   * rate of two clocks over `duration` and an order's way to its target.
   */
  readonly margin: Milliseconds;
  /** Must hold at each acquisition and renewal, besides the lease's own row. */
  readonly conditions?: readonly TableCondition[];
}

/** A lease as its holder knows it. */
export interface HeldLease {
  readonly fencing: FencingNumber;
  /** From this instant on the holder must not act. */
  readonly until: MonotonicInstant;
}

/** Answer to the question whether the holder may act at an instant. */
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
      /** When an attempt can succeed at the earliest. */
      readonly retryAfter: Milliseconds;
    }
  /** Another holder has the lease, or it was never ours. */
  | {readonly kind: 'lost'}
  /** A condition besides the lease's row failed: give up for good. */
  | {readonly kind: 'replaced'}
  /** A later flow of the same lease has begun; its result counts. */
  | {readonly kind: 'superseded'}
  /** No effect, or none that is known; try again. */
  | {readonly kind: 'platformUnavailable'; readonly detail: string}
  | {readonly kind: 'malformedRow'; readonly detail: string}
  /** Others wrote the row at each try; try again. */
  | {readonly kind: 'contended'};

/** A flow over the lease's row. */
export type LeaseFlow<Value> = Flow<
  LeaseEffect,
  LeaseReply,
  Result<Value, LeaseError>
>;

/** One holder's side of one lease. */
export interface Lease {
  /** Takes the lease under a new fencing number, or says when to try again. */
  readonly acquire: () => LeaseFlow<HeldLease>;
  /** Prolongs the lease under the same fencing number. */
  readonly renew: () => LeaseFlow<HeldLease>;
  /** Stops acting at once and lets others acquire without a wait. */
  readonly release: () => LeaseFlow<void>;
  /** To be asked right before each use; counts from before the last write. */
  readonly mayAct: (now: MonotonicInstant) => LeaseCheck;
}
