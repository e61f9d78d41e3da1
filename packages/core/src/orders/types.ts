import type {Flow} from '../kernel/flow';
import type {ClockReply, LeaseCheck, ReadClockEffect} from '../lease';
import type {
  Bytes,
  Digest,
  FencingSupport,
  Incarnation,
  Manifest,
  ModelName,
  MonotonicInstant,
  VersionDigest,
} from '../types';

/** A version that an engine reports as whole and loaded. */
export interface ReportedVersion {
  readonly model: ModelName;
  readonly versionDigest: VersionDigest;
}

/** What an engine says of itself; late. */
export interface EngineReport {
  /** Changes when the engine restarts. */
  readonly life: string;
  readonly loaded: readonly ReportedVersion[];
  readonly loading: readonly VersionDigest[];
}

/** A report with the instant of its snapshot on our own clock. */
export interface ObservedReport {
  readonly report: EngineReport;
  /** When the report was asked for, less the age it states. */
  readonly takenAt: MonotonicInstant;
}

/** What the configuration in force wants of one target. */
export type WantedState =
  /** The older system gives the orders, or the target is not known. */
  | {readonly kind: 'notOurs'}
  /** No new work and no orders; what runs may finish. */
  | {readonly kind: 'leaving'}
  | {
      readonly kind: 'serve';
      readonly fencing: FencingSupport;
      readonly versions: ReadonlyMap<ModelName, VersionDigest>;
      /** Models that other targets serve under a capacity floor. */
      readonly servedElsewhere: ReadonlySet<ModelName>;
    };

/** An order to a model engine; idempotent. */
export type EngineOrder =
  | {
      readonly kind: 'load';
      readonly versionDigest: VersionDigest;
      readonly manifest: Manifest;
    }
  | {readonly kind: 'unload'; readonly versionDigest: VersionDigest};

/** What one pass compares. */
export interface ReconcileInput {
  readonly wanted: WantedState;
  /** Absent until the engine has reported once. */
  readonly observed: ObservedReport | undefined;
  /** Versions of which the engine holds every chunk, verified. */
  readonly verified: ReadonlyMap<VersionDigest, Manifest>;
  /** Requests in progress by the version they began with. */
  readonly requestsRunning: ReadonlyMap<VersionDigest, number>;
  /** Models for which this target holds the permit to stop serving. */
  readonly permits: ReadonlySet<ModelName>;
}

/** What one pass came to. */
export interface ReconcilePlan {
  readonly orders: readonly EngineOrder[];
  /** Versions that may be given to new requests. */
  readonly routable: readonly ReportedVersion[];
  /** Models that need a permit before the next step. */
  readonly needsPermit: readonly ModelName[];
  /** Models whose permit has served its purpose. */
  readonly permitDone: readonly ModelName[];
  /** Versions that wait for their last requests. */
  readonly draining: readonly VersionDigest[];
  /** Wanted, verified versions for which the engine has no room. */
  readonly withoutRoom: readonly VersionDigest[];
}

/** Asks the driver to send one order. */
export interface SendOrderEffect {
  readonly kind: 'sendOrder';
  readonly order: EngineOrder;
  readonly fencing: Incarnation;
}

/** How the target answered an order. */
export type OrderOutcome =
  | {readonly kind: 'accepted'}
  /** The target has seen a higher number: this agent is replaced. */
  | {readonly kind: 'staleFencing'; readonly highest: Incarnation}
  /** The engine lacks chunks of the version or holds bad ones. */
  | {readonly kind: 'incomplete'; readonly missing: readonly Digest[]}
  /** The order may or may not have taken effect. */
  | {readonly kind: 'failed'; readonly detail: string};

/** Reply to {@link SendOrderEffect}. */
export interface OrderReply {
  readonly kind: 'order';
  readonly outcome: OrderOutcome;
}

/** Asks the driver to read the target's report. */
export interface ReadReportEffect {
  readonly kind: 'readReport';
}

/** Reply to {@link ReadReportEffect}; absent if the target did not answer. */
export interface ReportReply {
  readonly kind: 'report';
  readonly observed: ObservedReport | undefined;
}

/** What an order flow asks of its driver. */
export type OrderEffect = ReadClockEffect | SendOrderEffect | ReadReportEffect;

/** What the driver answers to an order flow. */
export type OrderEffectReply = ClockReply | OrderReply | ReportReply;

/** How a round of orders ended. */
export type OrderRound =
  | {
      readonly kind: 'given';
      /** The target's state read back; the next pass mends what differs. */
      readonly observed: ObservedReport | undefined;
      readonly refused: readonly {
        readonly versionDigest: VersionDigest;
        readonly missing: readonly Digest[];
      }[];
      readonly failed: readonly string[];
    }
  /** Nothing more was sent: the configuration changed since the plan. */
  | {readonly kind: 'overtaken'}
  /** Nothing more was sent: the lease is not held at this moment. */
  | {readonly kind: 'withoutLease'}
  /** For good: another agent gives this target's orders. */
  | {readonly kind: 'replaced'};

/** A round of orders. */
export type OrderFlow = Flow<OrderEffect, OrderEffectReply, OrderRound>;

/** What a reconciler is for. */
export interface ReconcilerSettings {
  /** The agent's incarnation, on every order. */
  readonly fencing: Incarnation;
  /**
   * The agent's own lease. Without one, a target that ignores fencing gets no
   * order.
   */
  readonly checkLease: ((now: MonotonicInstant) => LeaseCheck) | undefined;
  /** Memory for weights; absent: one version of each model at a time. */
  readonly engineMemory: Bytes | undefined;
}

/** Gives one target the orders that bring it to the wanted state. */
export interface TargetReconciler {
  /** Compares wanted and reported state; closes versions that shall go. */
  readonly plan: (input: ReconcileInput) => ReconcilePlan;
  /**
   * Sends the plan's orders; begin it in the same turn as {@link plan}.
   * `stillInForce` is asked before each order.
   */
  readonly giveOrders: (
    plan: ReconcilePlan,
    stillInForce: () => boolean,
  ) => OrderFlow;
  /** Whether a new request may begin on a version at this moment. */
  readonly mayStart: (versionDigest: VersionDigest) => boolean;
  /**
   * Whether no earlier agent's order can reach the engine any more: it has
   * accepted our number, or it ignores numbers and our lease is held.
   */
  readonly isFenced: (now: MonotonicInstant) => boolean;
  /** True once the target refused our number; no order is given any more. */
  readonly isReplaced: () => boolean;
}
