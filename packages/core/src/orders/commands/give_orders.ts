import {unreachable, type Flow} from '../../kernel/flow';
import {readClock} from '../../lease/read_clock';
import type {Digest, MonotonicInstant, VersionDigest} from '../../types';
import {
  recordAnswered,
  recordSent,
  type ReconcilerMemory,
} from '../reconciler_memory';
import type {
  EngineOrder,
  ObservedReport,
  OrderEffect,
  OrderEffectReply,
  OrderFlow,
  OrderOutcome,
  ReconcilePlan,
  ReconcilerSettings,
} from '../types';

/**
 * Sends the plan's orders one by one, each only while this agent is in charge.
 */
export function* giveOrders(
  settings: ReconcilerSettings,
  memory: ReconcilerMemory,
  plan: ReconcilePlan,
  stillInForce: () => boolean,
): OrderFlow {
  const refused: {versionDigest: VersionDigest; missing: readonly Digest[]}[] =
    [];
  const failed: string[] = [];
  for (const order of plan.orders) {
    const now = yield* readClock();
    if (memory.replaced) return {kind: 'replaced'};
    if (!stillInForce()) return {kind: 'overtaken'};
    if (!mayOrder(settings, memory, now)) return {kind: 'withoutLease'};
    const life = memory.life;
    const outcome = yield* sendOrder(settings, memory, order);
    switch (outcome.kind) {
      case 'accepted':
        memory.fencedEngineIncarnation = life;
        break;
      case 'staleFencing':
        memory.replaced = true;
        memory.routable = [];
        return {kind: 'replaced'};
      case 'incomplete':
        refused.push({
          versionDigest: order.versionDigest,
          missing: outcome.missing,
        });
        break;
      case 'failed':
        failed.push(outcome.detail);
        break;
      default:
        unreachable(outcome);
    }
  }
  return {kind: 'given', observed: yield* readReport(), refused, failed};
}

/** Whether an order may be sent at `now`. */
export function mayOrder(
  settings: ReconcilerSettings,
  memory: ReconcilerMemory,
  now: MonotonicInstant,
): boolean {
  if (memory.fencingSupport === 'checked') return true;
  if (settings.checkLease === undefined) return false;
  // Without this, an agent that was paused and replaced could send an order to
  // a target that does not check fencing, and versions would come and go there.
  // The lease has expired during the pause; it is read right before sending.
  return settings.checkLease(now).kind === 'mayAct';
}

function* sendOrder(
  settings: ReconcilerSettings,
  memory: ReconcilerMemory,
  order: EngineOrder,
): Flow<OrderEffect, OrderEffectReply, OrderOutcome> {
  recordSent(memory, order);
  const reply = yield {kind: 'sendOrder', order, fencing: settings.fencing};
  if (reply.kind !== 'order') throw new Error('driver sent no order reply');
  recordAnswered(memory, order, yield* readClock());
  return reply.outcome;
}

function* readReport(): Flow<
  OrderEffect,
  OrderEffectReply,
  ObservedReport | undefined
> {
  const reply = yield {kind: 'readReport'};
  if (reply.kind !== 'report') throw new Error('driver sent no report');
  return reply.observed;
}
