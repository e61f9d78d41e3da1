import {
  createTargetReconciler,
  type Manifest,
  type ModelName,
  type ObservedReport,
  type OrderEffect,
  type OrderFlow,
  type OrderRound,
  type ReconcilePlan,
  type ReconcilerSettings,
  type TargetReconciler,
  type VersionDigest,
  type WantedState,
} from '@hibiscusbeam/core';
import type {FakeEngine} from './fake_engine';

/**
 * What happens to an order. `lost` takes effect but its answer is lost;
 * `dropped` never arrives.
 */
export type OrderFate = 'none' | 'lost' | 'dropped';

/** An agent that a test runs step by step. */
export interface SteppedAgent {
  readonly reconciler: TargetReconciler;
  wanted: WantedState;
  readonly permits: Set<ModelName>;
  /** Plans, and starts a round of orders if none is in progress. */
  readonly pass: () => ReconcilePlan;
  readonly advance: (now: number, fate: OrderFate, lag: number) => void;
  readonly observe: (lag: number) => void;
  readonly lastRound: () => OrderRound | undefined;
  readonly nextEffect: () => OrderEffect | undefined;
}

/** Creates the agent of an engine. */
export function createSteppedAgent(
  engine: FakeEngine,
  verified: ReadonlyMap<VersionDigest, Manifest>,
  settings: ReconcilerSettings,
): SteppedAgent {
  const reconciler = createTargetReconciler(settings);
  let observed: ObservedReport | undefined;
  let flow: OrderFlow | undefined;
  let effect: OrderEffect | undefined;
  let round: OrderRound | undefined;

  function recordReport(report: ObservedReport | undefined): void {
    if (report === undefined) return;
    if (observed === undefined || report.takenAt > observed.takenAt) {
      observed = report;
    }
  }

  function take(step: IteratorResult<OrderEffect, OrderRound>): void {
    effect = step.done === true ? undefined : step.value;
    if (step.done !== true) return;
    round = step.value;
    flow = undefined;
  }

  const agent: SteppedAgent = {
    reconciler,
    wanted: {kind: 'notOurs'},
    permits: new Set(),
    pass: () => {
      const plan = reconciler.plan({
        wanted: agent.wanted,
        observed,
        verified,
        requestsRunning: engine.running(),
        permits: agent.permits,
      });
      for (const model of plan.permitDone) agent.permits.delete(model);
      if (flow !== undefined || plan.orders.length === 0) return plan;
      const {wanted} = agent;
      flow = reconciler.giveOrders(plan, () => agent.wanted === wanted);
      take(flow.next());
      return plan;
    },
    advance: (now, fate, lag) => {
      if (flow === undefined || effect === undefined) return;
      switch (effect.kind) {
        case 'readClock':
          return take(flow.next({kind: 'clock', now}));
        case 'readReport': {
          const report = engine.report(lag);
          recordReport(report);
          return take(flow.next({kind: 'report', observed: report}));
        }
        case 'sendOrder': {
          const {order, fencing} = effect;
          const answer =
            fate === 'dropped' ? undefined : engine.order(order, fencing);
          const outcome =
            fate === 'none' && answer !== undefined
              ? answer
              : ({kind: 'failed', detail: 'no answer'} as const);
          return take(flow.next({kind: 'order', outcome}));
        }
      }
    },
    observe: lag => recordReport(engine.report(lag)),
    lastRound: () => round,
    nextEffect: () => effect,
  };
  return agent;
}
