import {
  hash32,
  LEAST_RETURN,
  RETURN_SPREAD,
  type AnswerTimes,
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

/** Patience that a later attempt lacks; callers round it to milliseconds. */
const LOST_PATIENCE: Milliseconds = 20;

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
export function createTimeliness(answerTimes: AnswerTimes): Timeliness {
  /**
   * Longest patience seen on each route: that of a caller's first attempt.
   *
   * Failure: an operator shortens a route's timeout. Measured against the
   * patience seen before, all requests on it look late, go behind all others
   * and are refused first. Guard: each timeout is learned apart.
   */
  const fullPatience = new Map<string, Milliseconds>();

  /**
   * Objectives count from a caller's first attempt; what a later one lacks in
   * patience has passed.
   */
  function objectiveEnd({
    header,
    route,
    arrivedAt,
  }: AcceptedRequest): MonotonicInstant {
    const patience = Math.min(header.patience ?? Infinity, route.timeout);
    const key = `${route.name} ${route.timeout}`;
    const full = Math.max(fullPatience.get(key) ?? 0, patience);
    fullPatience.set(key, full);
    return arrivedAt - (full - patience) + route.objective;
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
    isLaterAttempt: accepted => {
      const {arrivedAt, route} = accepted;
      const lost = arrivedAt + route.objective - objectiveEnd(accepted);
      return lost > LOST_PATIENCE;
    },
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
  const first = Math.max(least, objective * LEAST_RETURN);
  return first + objective * share * RETURN_SPREAD;
}

/** Longest silence of a target before it is suspected to have ended. */
export function longestSilence(route: Route): Milliseconds {
  return Math.max(LEAST_SILENCE, route.objective * SILENCE_IN_OBJECTIVES);
}
