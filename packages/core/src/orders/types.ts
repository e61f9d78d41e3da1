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

/** A version that an engine reports as complete and loaded. */
export interface ReportedVersion {
  readonly model: ModelName;
  readonly versionDigest: VersionDigest;
}

/** What an engine reports about itself; may be outdated. */
export interface EngineReport {
  /** Changes when the engine restarts. */
  readonly life: string;
  readonly loaded: readonly ReportedVersion[];
  readonly loading: readonly VersionDigest[];
}

/** A report with the time of its snapshot on our own clock. */
export interface ObservedReport {
  readonly report: EngineReport;
  /** When the report was requested, minus the age that it states. */
  readonly takenAt: MonotonicInstant;
}

/** What the configuration in force wants one target to do. */
export type WantedState =
  /** The older system gives the orders, or the target is unknown. */
  | {readonly kind: 'notOurs'}
  /** No new work and no orders; running requests may finish. */
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

/** The input of one pass. */
export interface ReconcileInput {
  readonly wanted: WantedState;
  /** Absent until the engine has reported once. */
  readonly observed: ObservedReport | undefined;
  /** Versions whose every chunk the engine holds, verified. */
  readonly verified: ReadonlyMap<VersionDigest, Manifest>;
  /** Number of requests in progress, by the version they started on. */
  readonly requestsRunning: ReadonlyMap<VersionDigest, number>;
  /** Models for which this target holds the permit to stop serving. */
  readonly permits: ReadonlySet<ModelName>;
}

/** The result of one pass. */
export interface ReconcilePlan {
  readonly orders: readonly EngineOrder[];
  /** Versions that new requests may use. */
  readonly routable: readonly ReportedVersion[];
  /** Models that need a permit before the next step. */
  readonly needsPermit: readonly ModelName[];
  /** Models whose permit is no longer needed. */
  readonly permitDone: readonly ModelName[];
  /** Versions that wait for their last requests to finish. */
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
  /** The target has seen a higher number: this agent has been replaced. */
  | {readonly kind: 'staleFencing'; readonly highest: Incarnation}
  /** The engine lacks chunks of the version or has corrupted ones. */
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

/** The effects that an order flow yields to its driver. */
export type OrderEffect = ReadClockEffect | SendOrderEffect | ReadReportEffect;

/** The driver's replies to an order flow. */
export type OrderEffectReply = ClockReply | OrderReply | ReportReply;

/** How a round of orders ended. */
export type OrderRound =
  | {
      readonly kind: 'given';
      /**
       * The target's state read back; the next pass corrects any difference.
       */
      readonly observed: ObservedReport | undefined;
      readonly refused: readonly {
        readonly versionDigest: VersionDigest;
        readonly missing: readonly Digest[];
      }[];
      readonly failed: readonly string[];
    }
  /** Nothing more was sent: the configuration changed since the plan. */
  | {readonly kind: 'overtaken'}
  /** Nothing more was sent: the lease is not held at this time. */
  | {readonly kind: 'withoutLease'}
  /** Final: another agent gives this target's orders. */
  | {readonly kind: 'replaced'};

/** The flow of one round of orders. */
export type OrderFlow = Flow<OrderEffect, OrderEffectReply, OrderRound>;

/** The settings of a reconciler. */
export interface ReconcilerSettings {
  /** The agent's incarnation, sent as the fencing number of every order. */
  readonly fencing: Incarnation;
  /**
   * The agent's own lease. Without one, a target that ignores fencing gets no
   * order.
   */
  readonly checkLease: ((now: MonotonicInstant) => LeaseCheck) | undefined;
  /** Memory for weights; if absent, one version of each model at a time. */
  readonly engineMemory: Bytes | undefined;
}

/** Sends one target the orders that bring it to the wanted state. */
export interface TargetReconciler {
  /** Compares the wanted with the reported state; closes versions to unload. */
  readonly plan: (input: ReconcileInput) => ReconcilePlan;
  /**
   * Sends the plan's orders; must be started in the same turn of the event loop
   * as {@link plan}. `stillInForce` is checked before each order.
   */
  readonly giveOrders: (
    plan: ReconcilePlan,
    stillInForce: () => boolean,
  ) => OrderFlow;
  /** Whether a new request may start on a version now. */
  readonly mayStart: (versionDigest: VersionDigest) => boolean;
  /**
   * Whether an earlier agent's orders can no longer reach the engine: it has
   * accepted our number, or it ignores numbers and our lease is held.
   */
  readonly isFenced: (now: MonotonicInstant) => boolean;
  /** True once the target refused our number; no more orders are given. */
  readonly isReplaced: () => boolean;
}
