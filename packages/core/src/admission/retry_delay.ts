import type {Milliseconds} from '../types';
import type {AdmissionLevel} from './level';

/**
 * Minimum and spread, in objectives, of the retry delay for callers whose
 * request found no slot. Callers that retry while engines still load a version
 * are refused again.
 */
export const MIN_RETRY_OBJECTIVES = 2.5;
export const RETRY_SPREAD_OBJECTIVES = 2.5;

/** Maximum overload duration whose refused requests count as a backlog. */
const MAX_BACKLOG_TIME: Milliseconds = 4_000;

/** Maximum share of its remaining time that a caller waits before a retry. */
const MAX_TIME_LEFT_SHARE = 1 / 3;

/**
 * Start of the retries as a share of the maximum, if they can't all come after
 * the minimum: for the most urgent requests, and the addition for the least
 * urgent ones. The rest of the time is needed to spread them.
 */
const FIRST_RETRY_SHARE = 0.5;
const LEAST_URGENT_EXTRA_SHARE = 0.25;

/** How short a service is of capacity. */
export interface ServicePressure {
  readonly level: AdmissionLevel;
  /** Time for which demand has exceeded the capacity. */
  readonly overloadedFor: Milliseconds;
  /** Time until loading engines are back; 0 if that would not help. */
  readonly capacityIn: Milliseconds;
}

/** Inputs of a retry delay. */
export interface RetryDelayRequest {
  readonly objective: Milliseconds;
  /** Time until its caller's deadline. */
  readonly timeLeft: Milliseconds;
  readonly priority: number;
  /** 0 to 1, different for each request. */
  readonly spread: number;
  readonly pressure: ServicePressure | undefined;
  /** Time until a target accepts the request again, if one has reported it. */
  readonly minDelay: Milliseconds;
}

/**
 * Returns when the caller of a refused request should retry: after the backlog
 * has been worked off and capacity is back, urgent requests earlier, spread
 * over time, and never later than callers wait.
 */
export function retryDelay(request: RetryDelayRequest): Milliseconds {
  const {objective, pressure, spread} = request;
  const rank = pressure ? rankOf(pressure.level, request.priority) : 0;
  const backlog = pressure ? backlogOf(pressure) : 0;
  const minimum = objective * MIN_RETRY_OBJECTIVES;
  const capacityIn = Math.max(request.minDelay, pressure?.capacityIn ?? 0);
  const first = Math.max(minimum, capacityIn) + rank * backlog;
  const window = objective * RETRY_SPREAD_OBJECTIVES + backlog;
  const maximum = Math.max(0, request.timeLeft) * MAX_TIME_LEFT_SHARE;
  const last = Math.min(maximum, first + window);
  const early = last * (FIRST_RETRY_SHARE + LEAST_URGENT_EXTRA_SHARE * rank);
  const begin = last < first + window ? Math.min(first, early) : first;
  return begin + spread * (last - begin);
}

/** Returns 0 for the most urgent requested priority, 1 for the least urgent. */
function rankOf({shares}: AdmissionLevel, priority: number): number {
  const moreUrgent = shares.filter(known => known.priority < priority);
  return moreUrgent.length / Math.max(1, shares.length - 1, moreUrgent.length);
}

/** Time in which the engines could do what has been refused so far. */
function backlogOf({
  level: {demand, capacity},
  overloadedFor,
}: ServicePressure): Milliseconds {
  if (capacity <= 0) return MAX_BACKLOG_TIME;
  const excess = Math.max(0, demand - capacity) / capacity;
  return Math.min(MAX_BACKLOG_TIME, excess * overloadedFor);
}
