import {
  hash32,
  MIN_RETRY_OBJECTIVES,
  RETRY_SPREAD_OBJECTIVES,
  type FirstEventTimes,
  type Milliseconds,
  type MonotonicInstant,
  type Route,
} from '@hibiscusbeam/core';
import type {AcceptedRequest} from './request_acceptance';

/**
 * Expected answer time as a share of the route's objective, before any answer
 * of the service was seen. Idle engines took 130 ms of 400, plain services 80
 * ms of 195.
 */
const INITIAL_ANSWER_SHARE = 0.35;

/**
 * Maximum wait for a slot of a request that is late in any case. Waiting longer
 * would delay its refusal by more than the chance of a slot is worth to the
 * caller.
 */
const MAX_LATE_WAIT: Milliseconds = 60;

/**
 * Silence, in multiples of the route's objective, after which a target is
 * suspected to have ended.
 */
const MAX_SILENCE_OBJECTIVES = 3.5;

/** Minimum silence after which a target is suspected to have ended. */
const MIN_SILENCE: Milliseconds = 500;

/**
 * Maximum wait for a slot of a stream that broke. Callers give a stream up
 * after a pause of two seconds, and the new run needs a part of that.
 */
const MAX_RESUME_WAIT: Milliseconds = 1_000;

/**
 * Minimum share of the route's longest caller timeout that a first attempt has.
 *
 * Timeouts of callers of one route differ by up to 15 in 100. Counted as time
 * already spent, the difference would make first attempts look late, while
 * refused callers return with a timeout shorter than that.
 */
const MIN_FIRST_ATTEMPT_SHARE = 0.85;

/** Weight of one first attempt in the mean timeout of its route. */
const TIMEOUT_WEIGHT = 0.05;

/** Until when a request may wait for a slot. */
export interface SlotWaitLimits {
  /** A slot taken until then still yields an answer on time. */
  readonly onTimeUntil: MonotonicInstant;
  readonly waitUntil: MonotonicInstant;
}

/** Computes until when it is worth waiting with a request. */
export interface Timeliness {
  /**
   * When the request's objective ends, counted from its caller's first attempt.
   */
  readonly objectiveEnd: (accepted: AcceptedRequest) => MonotonicInstant;
  readonly limits: (accepted: AcceptedRequest) => SlotWaitLimits;
  /**
   * Whether the caller has sent the request before, by the part of its timeout
   * that has passed.
   */
  readonly isLaterAttempt: (accepted: AcceptedRequest) => boolean;
  /** Limits for a stream that has begun and resumes elsewhere. */
  readonly resumeLimits: (
    accepted: AcceptedRequest,
    now: MonotonicInstant,
  ) => SlotWaitLimits;
}

/**
 * Creates the limits. They learn the timeouts of callers on each route, and use
 * the answer times of targets.
 */
export function createTimeliness(answerTimes: FirstEventTimes): Timeliness {
  const routeTimeouts = createRouteTimeouts();

  /** Objectives count from a caller's first attempt. */
  function objectiveEnd(accepted: AcceptedRequest): MonotonicInstant {
    const {route, arrivedAt} = accepted;
    return arrivedAt - routeTimeouts.spent(accepted) + route.objective;
  }

  function onTimeLimit(accepted: AcceptedRequest): MonotonicInstant {
    const {route, service, run} = accepted;
    const answerTime =
      answerTimes.expected(service, run.promptTime) ??
      route.objective * INITIAL_ANSWER_SHARE;
    return objectiveEnd(accepted) - answerTime;
  }

  return {
    objectiveEnd,
    isLaterAttempt: accepted => routeTimeouts.spent(accepted) > 0,
    limits: accepted => {
      const onTimeUntil = onTimeLimit(accepted);
      const waitUntil = Math.min(
        accepted.deadline,
        Math.max(onTimeUntil, accepted.arrivedAt + MAX_LATE_WAIT),
      );
      return {onTimeUntil, waitUntil};
    },
    resumeLimits: ({deadline}, now) => {
      const waitUntil = Math.min(deadline, now + MAX_RESUME_WAIT);
      return {onTimeUntil: waitUntil, waitUntil};
    },
  };
}

/**
 * Retry-After, at least `min`; spread, so that refused requests don't return
 * all at once.
 */
export function spreadRetryAfter(
  requestId: string | undefined,
  {objective}: Route,
  min: Milliseconds,
): Milliseconds {
  const share = hash32(requestId ?? '') / 2 ** 32;
  const first = Math.max(min, objective * MIN_RETRY_OBJECTIVES);
  return first + objective * share * RETRY_SPREAD_OBJECTIVES;
}

/** Maximum silence of a target before it is suspected to have ended. */
export function maxSilence(route: Route): Milliseconds {
  return Math.max(MIN_SILENCE, route.objective * MAX_SILENCE_OBJECTIVES);
}

/** Caller timeouts of first attempts on a route. */
interface FirstAttemptTimeouts {
  longest: Milliseconds;
  mean: Milliseconds;
}

/** Distinguishes first attempts from later ones by the caller's timeout. */
function createRouteTimeouts() {
  /**
   * Learned separately for each route timeout. Otherwise, after an operator
   * shortens a timeout, all requests look late against the timeouts seen
   * before: they are ordered behind all others and refused first.
   */
  const learned = new Map<string, FirstAttemptTimeouts>();

  /** How long ago the caller's first attempt was; 0 if this is the first. */
  function timeSpent({header, route}: AcceptedRequest): Milliseconds {
    const timeout = Math.min(header.patience ?? Infinity, route.timeout);
    const key = `${route.name} ${route.timeout}`;
    const first = learned.get(key) ?? {longest: timeout, mean: timeout};
    learned.set(key, first);
    first.longest = Math.max(first.longest, timeout);
    if (timeout < first.longest * MIN_FIRST_ATTEMPT_SHARE) {
      return Math.max(0, first.mean - timeout);
    }
    first.mean += TIMEOUT_WEIGHT * (timeout - first.mean);
    return 0;
  }

  return {spent: timeSpent};
}
