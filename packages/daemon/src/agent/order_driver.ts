import {
  unreachable,
  type ObservedReport,
  type OrderEffect,
  type OrderEffectReply,
  type OrderOutcome,
} from '@hibiscusbeam/core';
import type {Clock} from '../runtime/clock';
import type {EngineClient, TargetError} from '../targets/types';

/** Reads the engine's report and the instant at which it was true. */
export async function observeEngine(
  engine: EngineClient,
  clock: Clock,
): Promise<
  | (ObservedReport & {
      readonly load: {
        readonly running: number;
        readonly queued: number;
        readonly slots: number;
      };
    })
  | undefined
> {
  const requestedAt = clock();
  const report = await engine.report();
  if (report.err) return undefined;
  const {life, loaded, loading, running, queued, slots, ageMilliseconds} =
    report.val;
  return {
    report: {life, loaded, loading},
    takenAt: requestedAt - ageMilliseconds,
    load: {running, queued, slots},
  };
}

/** Runs the effects of a round of orders. */
export function createOrderDriver(
  engine: EngineClient,
  clock: Clock,
): (effect: OrderEffect) => Promise<OrderEffectReply> | OrderEffectReply {
  return effect => {
    switch (effect.kind) {
      // Synchronous: in a turn of the event loop between the check of the lease
      // and the order, the lease could expire.
      case 'readClock':
        return {kind: 'clock', now: clock()};
      case 'sendOrder':
        return engine.order(effect.order, effect.fencing).then(result => ({
          kind: 'order',
          outcome: result.ok ? {kind: 'accepted'} : outcomeOf(result.val),
        }));
      case 'readReport':
        return observeEngine(engine, clock).then(observed => ({
          kind: 'report',
          observed,
        }));
      default:
        return unreachable(effect);
    }
  };
}

function outcomeOf(error: TargetError): OrderOutcome {
  if (error.kind !== 'refused') return {kind: 'failed', detail: error.detail};
  switch (error.error) {
    case 'staleFencing':
      return {kind: 'staleFencing', highest: numberIn(error.detail, 'highest')};
    case 'incomplete':
      return {kind: 'incomplete', missing: digestsIn(error.detail)};
    default:
      return {kind: 'failed', detail: error.detail};
  }
}

function numberIn(text: string, name: string): number {
  const value = (parse(text) as Record<string, unknown> | undefined)?.[name];
  return typeof value === 'number' ? value : 0;
}

function digestsIn(text: string): readonly string[] {
  const missing = (parse(text) as {missing?: unknown} | undefined)?.missing;
  if (!Array.isArray(missing)) return [];
  return missing.filter(digest => typeof digest === 'string');
}

function parse(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}
