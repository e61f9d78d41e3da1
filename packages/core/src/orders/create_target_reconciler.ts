import {giveOrders, mayOrder} from './commands/give_orders';
import {planPass} from './commands/plan_pass';
import {createReconcilerMemory} from './reconciler_memory';
import type {ReconcilerSettings, TargetReconciler} from './types';

/**
 * Creates the reconciler of one target. Its driver answers each effect, with
 * `failed` for an order that got no answer in time.
 */
export function createTargetReconciler(
  settings: ReconcilerSettings,
): TargetReconciler {
  const memory = createReconcilerMemory();
  return {
    plan: input => planPass(settings, memory, input),
    giveOrders: (plan, stillInForce) =>
      giveOrders(settings, memory, plan, stillInForce),
    mayStart: versionDigest =>
      memory.routable.some(version => version.versionDigest === versionDigest),
    isFenced: now => {
      if (memory.replaced) return false;
      if (memory.fencingSupport === 'ignored') {
        return mayOrder(settings, memory, now);
      }
      return (
        memory.life !== undefined &&
        memory.fencedEngineIncarnation === memory.life
      );
    },
    isReplaced: () => memory.replaced,
  };
}
