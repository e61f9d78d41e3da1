import {
  wirePriority,
  type ListedTarget,
  type Milliseconds,
  type MonotonicInstant,
  type SendPacer,
  type PlacementRequest,
  type InFlightRequest,
  type ServiceName,
  type TargetRegistry,
  type TargetSelection,
  type WaitingOrder,
  type WaitingRequest,
} from '@hibiscusbeam/core';
import type {Clock} from '@hibiscusbeam/daemon';

/** Result of waiting for a slot. */
export type SlotOutcome =
  | {
      readonly kind: 'place';
      readonly target: ListedTarget;
      readonly inFlight: InFlightRequest;
      /**
       * Aborts when the target's incarnation ends, and with it the request
       * there.
       */
      readonly incarnationEnded: AbortSignal;
    }
  | {readonly kind: 'full'}
  | {readonly kind: 'none'}
  | {readonly kind: 'leaving'}
  | {readonly kind: 'evacuated'}
  | {readonly kind: 'nowhere'}
  | {readonly kind: 'backingOff'; readonly until: MonotonicInstant}
  | {readonly kind: 'outdated'}
  | {readonly kind: 'abandoned'};

/** A request that waits for a slot. */
export interface SlotRequest extends WaitingRequest {
  /** The current need; evaluated at each check. */
  readonly need: () => PlacementRequest;
  /** Time that a target takes to read its prompt. */
  readonly promptTime: Milliseconds;
  /** Until when it may wait. */
  readonly waitUntil: MonotonicInstant;
  /** Aborts when the caller has disconnected. */
  readonly signal: AbortSignal;
}

/** Requests that wait at the entry for a target with a free slot. */
export interface SlotQueue {
  readonly take: (request: SlotRequest) => Promise<SlotOutcome>;
  /** Checks all waiting requests again, after something has changed. */
  readonly pump: () => void;
  readonly waiting: () => number;
  /** Requests that wait for a service, of one priority or of all. */
  readonly waitingFor: (service: ServiceName, priority?: number) => number;
}

/** Interval between checks without a change, for waits that expire. */
const CHECK_PERIOD: Milliseconds = 20;

interface Waiter {
  readonly request: SlotRequest;
  readonly resolve: (outcome: SlotOutcome) => void;
}

/** Order without admission by level. */
const ORDER_BY_PRIORITY: WaitingOrder<SlotRequest> = {
  compare,
  recordStart: () => undefined,
};

/**
 * Creates the queue for the slots of `registry`; `onSlotTaken` is called for
 * each slot that is taken.
 */
export function createSlotQueue(
  registry: TargetRegistry,
  clock: Clock,
  onSlotTaken: SendPacer['recordSend'] = () => undefined,
  order: WaitingOrder<SlotRequest> = ORDER_BY_PRIORITY,
): SlotQueue {
  let waiters: Waiter[] = [];
  let timer: NodeJS.Timeout | undefined;

  function pump(): void {
    if (waiters.length === 0) return;
    const now = clock();
    const left: Waiter[] = [];
    waiters.sort((one, other) =>
      order.compare(one.request, other.request, now),
    );
    for (const waiter of waiters) {
      const outcome = tryTake(waiter.request, now);
      if (outcome === undefined) left.push(waiter);
      else waiter.resolve(outcome);
    }
    waiters = left;
    checkLater();
  }

  function checkLater(): void {
    if (waiters.length === 0 || timer !== undefined) return;
    timer = setTimeout(() => {
      timer = undefined;
      pump();
    }, CHECK_PERIOD);
  }

  /** Returns undefined while the request has to wait. */
  function tryTake(
    request: SlotRequest,
    now: MonotonicInstant,
  ): SlotOutcome | undefined {
    if (request.signal.aborted) return {kind: 'abandoned'};
    const need = request.need();
    const choice = registry.choose(need);
    if (choice.kind === 'chosen') {
      const {target} = choice;
      onSlotTaken(target, now);
      order.recordStart(request, now);
      const incarnation = new AbortController();
      const inFlight = registry.begin(target, {
        promptTime: request.promptTime,
        memory: need.memory,
        at: now,
        onIncarnationEnded: () => incarnation.abort(),
      });
      return {
        kind: 'place',
        target,
        inFlight,
        incarnationEnded: incarnation.signal,
      };
    }
    return isWorthWaiting(choice, request, now) ? undefined : choice;
  }

  function take(request: SlotRequest): Promise<SlotOutcome> {
    const now = clock();
    const {service} = request.need();
    const mustQueue = waiters.some(
      waiter =>
        waiter.request.need().service === service &&
        order.compare(waiter.request, request, now) <= 0,
    );
    const outcome = mustQueue ? undefined : tryTake(request, now);
    if (outcome !== undefined) return Promise.resolve(outcome);
    return new Promise(resolve => {
      waiters.push({request, resolve});
      request.signal.addEventListener('abort', pump, {once: true});
      checkLater();
    });
  }

  function waitingFor(service: ServiceName, priority?: number): number {
    const matching = waiters.filter(
      ({request}) =>
        request.need().service === service &&
        (priority === undefined || wirePriority(request.priority) === priority),
    );
    return matching.length;
  }

  return {take, pump, waiting: () => waiters.length, waitingFor};
}

/** Whether a slot may become free while the request may wait. */
function isWorthWaiting(
  choice: Exclude<TargetSelection, {kind: 'chosen'}>,
  {waitUntil}: SlotRequest,
  now: MonotonicInstant,
): boolean {
  switch (choice.kind) {
    case 'leaving':
    case 'evacuated':
    case 'nowhere':
      return false;
    case 'backingOff':
      return choice.until < waitUntil;
    case 'full':
    case 'none':
    case 'outdated':
      return now < waitUntil;
  }
}

/**
 * Order of waiting requests. Resumed streams go first, since their callers
 * count each pause and the work done so far would be lost. Then come requests
 * that can still be answered on time, by priority and then by the time left,
 * and last those that are late in any case: a late answer is worth a quarter,
 * and serving it would make another request late too.
 */
function compare(
  one: SlotRequest,
  other: SlotRequest,
  now: MonotonicInstant,
): number {
  const isLate = Number(one.onTimeUntil < now);
  const isOtherLate = Number(other.onTimeUntil < now);
  return (
    Number(other.isResumed) - Number(one.isResumed) ||
    isLate - isOtherLate ||
    one.priority - other.priority ||
    one.onTimeUntil - other.onTimeUntil
  );
}
