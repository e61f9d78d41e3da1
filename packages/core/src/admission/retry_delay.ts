import type {Milliseconds} from '../types';
import type {AdmissionLevel} from './level';

/**
 * Pause named to callers whose request found no place, in objectives: the least
 * one, and the spread. Callers that return while engines still load a version are
 * refused again.
 */
export const MIN_RETRY_OBJECTIVES = 2.5;
export const RETRY_SPREAD_OBJECTIVES = 2.5;

/** Longest overload whose refused requests are counted as a backlog. */
const MAX_BACKLOG_TIME: Milliseconds = 4_000;

/** Part of its time left that a caller waits before it asks again. */
const MAX_TIME_LEFT_SHARE = 1 / 3;

/**
 * Where returns begin if they can't all be later than the least one, as a share
 * of the longest: for the most urgent requests, and what is added for the least
 * urgent ones. The rest is needed to spread them.
 */
const FIRST_RETRY_SHARE = 0.5;
const LEAST_URGENT_EXTRA_SHARE = 0.25;

/** How short a service is of capacity. */
export interface ServicePressure {
  readonly level: AdmissionLevel;
  /** Time for which more has been asked for than the engines give. */
  readonly overloadedFor: Milliseconds;
  /** Time until engines that load are back; 0 if that would not help. */
  readonly capacityIn: Milliseconds;
}

/** What the return of a refused request goes by. */
export interface RetryDelayRequest {
  readonly objective: Milliseconds;
  /** Until its caller's deadline. */
  readonly timeLeft: Milliseconds;
  readonly priority: number;
  /** 0 to 1, different for each request. */
  readonly spread: number;
  readonly pressure: ServicePressure | undefined;
  /** Time until a target takes the request again, if one has said so. */
  readonly minDelay: Milliseconds;
}

/**
 * When the caller of a refused request should come back: once the backlog is
 * worked off and capacity has returned, urgent requests earlier, spread, and
 * never later than callers wait.
 */
export function retryDelay(need: RetryDelayRequest): Milliseconds {
  const {objective, pressure, spread} = need;
  const rank = pressure ? rankOf(pressure.level, need.priority) : 0;
  const backlog = pressure ? backlogOf(pressure) : 0;
  const soonest = objective * MIN_RETRY_OBJECTIVES;
  const capacityIn = Math.max(need.minDelay, pressure?.capacityIn ?? 0);
  const first = Math.max(soonest, capacityIn) + rank * backlog;
  const window = objective * RETRY_SPREAD_OBJECTIVES + backlog;
  const longest = Math.max(0, need.timeLeft) * MAX_TIME_LEFT_SHARE;
  const last = Math.min(longest, first + window);
  const early = last * (FIRST_RETRY_SHARE + LEAST_URGENT_EXTRA_SHARE * rank);
  const begin = last < first + window ? Math.min(first, early) : first;
  return begin + spread * (last - begin);
}

/** 0 for the most urgent priority that is asked for, 1 for the least. */
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
