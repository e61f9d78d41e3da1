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
 * Time that a target takes, as a share of its route's objective, before any
 * answer of its service was seen. Idle engines took 130 ms of 400, plain
 * services 80 ms of 195.
 */
const INITIAL_ANSWER_SHARE = 0.35;

/**
 * Longest wait for a place of a request that is late anyhow. Held longer, its
 * refusal would cost its caller more than the chance of a place is worth.
 */
const MAX_LATE_WAIT: Milliseconds = 60;

/** Silence, in objectives, after which a target is suspected to have ended. */
const MAX_SILENCE_OBJECTIVES = 3.5;

/** Least silence after which a target is suspected to have ended. */
const MIN_SILENCE: Milliseconds = 500;

/**
 * Longest wait for a place of a stream that broke. Callers give a stream up
 * after a pause of two seconds, and the new run needs a part of that.
 */
const MAX_RESUME_WAIT: Milliseconds = 1_000;

/**
 * Share of the longest patience on a route that a first attempt has at least.
 *
 * Callers of one route differ in patience by up to 15 in 100; taken for time spent,
 * the difference makes first attempts look late. Refused callers return with less.
 */
const MIN_FIRST_ATTEMPT_SHARE = 0.85;

/** Weight of one first attempt in the mean patience of its route. */
const TIMEOUT_WEIGHT = 0.05;

/** Until when a request may wait for a place. */
export interface SlotWaitLimits {
  /** Until then a place makes for an answer on time. */
  readonly onTimeUntil: MonotonicInstant;
  readonly waitUntil: MonotonicInstant;
}

/** Knows until when requests are worth waiting for. */
export interface Timeliness {
  /** When the request's objective ends, counted from its caller's first attempt. */
  readonly objectiveEnd: (accepted: AcceptedRequest) => MonotonicInstant;
  readonly limits: (accepted: AcceptedRequest) => SlotWaitLimits;
  /** Whether the caller has asked before, by the patience that it has lost. */
  readonly isLaterAttempt: (accepted: AcceptedRequest) => boolean;
  /** Limits for a stream that has begun and goes on elsewhere. */
  readonly resumeLimits: (
    accepted: AcceptedRequest,
    now: MonotonicInstant,
  ) => SlotWaitLimits;
}

/**
 * Creates the limits; they learn how long callers wait on each route, and go by
 * the times that targets take.
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
 * When to come back, not before `least`: spread, so that refused requests don't
 * return at once.
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

/** Longest silence of a target before it is suspected to have ended. */
export function maxSilence(route: Route): Milliseconds {
  return Math.max(MIN_SILENCE, route.objective * MAX_SILENCE_OBJECTIVES);
}

/** The patience of first attempts on a route. */
interface FirstAttemptTimeouts {
  longest: Milliseconds;
  mean: Milliseconds;
}

/** Tells first attempts of callers from later ones by their patience. */
function createRouteTimeouts() {
  /**
   * Failure: an operator shortens a route's timeout. Measured against the
   * patience seen before, all requests on it look late, go behind all others
   * and are refused first. Guard: each timeout is learned apart.
   */
  const learned = new Map<string, FirstAttemptTimeouts>();

  /** How long ago the caller's first attempt was; 0 if it is this one. */
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
