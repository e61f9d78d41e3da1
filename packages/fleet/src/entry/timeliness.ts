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
const FIRST_SHARE = 0.35;

/**
 * Longest wait for a place of a request that is late anyhow. Held longer, its
 * refusal would cost its caller more than the chance of a place is worth.
 */
const LATE_WAIT: Milliseconds = 60;

/** Silence, in objectives, after which a target is suspected to have ended. */
const SILENCE_IN_OBJECTIVES = 3.5;

/** Least silence after which a target is suspected to have ended. */
const LEAST_SILENCE: Milliseconds = 500;

/**
 * Longest wait for a place of a stream that broke. Callers give a stream up
 * after a pause of two seconds, and the new run needs a part of that.
 */
const RESUME_WAIT: Milliseconds = 1_000;

/**
 * Share of the longest patience on a route that a first attempt has at least.
 *
 * Callers of one route differ in patience by up to 15 in 100; taken for time spent,
 * the difference makes first attempts look late. Refused callers return with less.
 */
const FIRST_ATTEMPT_SHARE = 0.85;

/** Weight of one first attempt in the mean patience of its route. */
const PATIENCE_WEIGHT = 0.05;

/** Until when a request may wait for a place. */
export interface PlaceLimits {
  /** Until then a place makes for an answer on time. */
  readonly onTimeUntil: MonotonicInstant;
  readonly waitUntil: MonotonicInstant;
}

/** Knows until when requests are worth waiting for. */
export interface Timeliness {
  /** When the request's objective ends, counted from its caller's first attempt. */
  readonly objectiveEnd: (accepted: AcceptedRequest) => MonotonicInstant;
  readonly limits: (accepted: AcceptedRequest) => PlaceLimits;
  /** Whether the caller has asked before, by the patience that it has lost. */
  readonly isLaterAttempt: (accepted: AcceptedRequest) => boolean;
  /** Limits for a stream that has begun and goes on elsewhere. */
  readonly resumeLimits: (
    accepted: AcceptedRequest,
    now: MonotonicInstant,
  ) => PlaceLimits;
}

/**
 * Creates the limits; they learn how long callers wait on each route, and go by
 * the times that targets take.
 */
export function createTimeliness(answerTimes: FirstEventTimes): Timeliness {
  const patienceOfRoutes = createRoutePatience();

  /** Objectives count from a caller's first attempt. */
  function objectiveEnd(accepted: AcceptedRequest): MonotonicInstant {
    const {route, arrivedAt} = accepted;
    return arrivedAt - patienceOfRoutes.spent(accepted) + route.objective;
  }

  function onTimeLimit(accepted: AcceptedRequest): MonotonicInstant {
    const {route, service, run} = accepted;
    const answerTime =
      answerTimes.expected(service, run.promptTime) ??
      route.objective * FIRST_SHARE;
    return objectiveEnd(accepted) - answerTime;
  }

  return {
    objectiveEnd,
    isLaterAttempt: accepted => patienceOfRoutes.spent(accepted) > 0,
    limits: accepted => {
      const onTimeUntil = onTimeLimit(accepted);
      const waitUntil = Math.min(
        accepted.deadline,
        Math.max(onTimeUntil, accepted.arrivedAt + LATE_WAIT),
      );
      return {onTimeUntil, waitUntil};
    },
    resumeLimits: ({deadline}, now) => {
      const waitUntil = Math.min(deadline, now + RESUME_WAIT);
      return {onTimeUntil: waitUntil, waitUntil};
    },
  };
}

/**
 * When to come back, not before `least`: spread, so that refused requests don't
 * return at once.
 */
export function spreadReturn(
  requestId: string | undefined,
  {objective}: Route,
  least: Milliseconds,
): Milliseconds {
  const share = hash32(requestId ?? '') / 2 ** 32;
  const first = Math.max(least, objective * MIN_RETRY_OBJECTIVES);
  return first + objective * share * RETRY_SPREAD_OBJECTIVES;
}

/** Longest silence of a target before it is suspected to have ended. */
export function longestSilence(route: Route): Milliseconds {
  return Math.max(LEAST_SILENCE, route.objective * SILENCE_IN_OBJECTIVES);
}

/** The patience of first attempts on a route. */
interface FirstPatience {
  longest: Milliseconds;
  mean: Milliseconds;
}

/** Tells first attempts of callers from later ones by their patience. */
function createRoutePatience() {
  /**
   * Failure: an operator shortens a route's timeout. Measured against the
   * patience seen before, all requests on it look late, go behind all others
   * and are refused first. Guard: each timeout is learned apart.
   */
  const known = new Map<string, FirstPatience>();

  /** How long ago the caller's first attempt was; 0 if it is this one. */
  function spent({header, route}: AcceptedRequest): Milliseconds {
    const patience = Math.min(header.patience ?? Infinity, route.timeout);
    const key = `${route.name} ${route.timeout}`;
    const first = known.get(key) ?? {longest: patience, mean: patience};
    known.set(key, first);
    first.longest = Math.max(first.longest, patience);
    if (patience < first.longest * FIRST_ATTEMPT_SHARE) {
      return Math.max(0, first.mean - patience);
    }
    first.mean += PATIENCE_WEIGHT * (patience - first.mean);
    return 0;
  }

  return {spent};
}
