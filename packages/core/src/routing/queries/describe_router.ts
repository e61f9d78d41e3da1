import type {AttemptId, MonotonicInstant} from '../../types';
import {MAX_DUMPED_TARGETS, MOVE_TIMEOUT} from '../constants';
import type {RouterState, TargetState} from '../state';
import type {
  EjectionCause,
  OverdueAttempt,
  RouterDump,
  StalledAttempt,
  TargetDump,
} from '../types';
import {estimateLoad, meanOthersPerSlot} from './estimate_load';

/**
 * Returns the router's state for people, with at most `MAX_DUMPED_TARGETS`
 * targets.
 */
export function describeRouter(
  state: RouterState,
  now: MonotonicInstant,
): RouterDump {
  const listed = [...state.targets.values()].slice(0, MAX_DUMPED_TARGETS);
  return {
    inFlight: state.attempts.size,
    targetCount: state.targets.size,
    targets: listed.map(target => describeTarget(state, target, now)),
  };
}

function describeTarget(
  state: RouterState,
  target: TargetState,
  now: MonotonicInstant,
): TargetDump {
  const {health} = target;
  return {
    target: target.target,
    zone: target.zone,
    leaving: target.leaving,
    health: health.kind,
    cause: health.kind === 'healthy' ? undefined : health.cause,
    ownInFlight: target.ownInFlight,
    estimatedLoad: estimateLoad(state, target, meanOthersPerSlot(state), now),
    slots: target.slots,
    reportAge: now - target.measuredAt,
    firstTokenTime: target.firstTokenTime.value(),
    tokenTime: target.tokenTime.value(),
  };
}

/** Returns attempts at ejected targets, which would do better elsewhere. */
export function findStalledAttempts(
  state: RouterState,
): readonly StalledAttempt[] {
  const stalled: StalledAttempt[] = [];
  for (const target of state.targets.values()) {
    const {health} = target;
    if (health.kind !== 'ejected') continue;
    const {cause} = health;
    for (const attempt of attemptsToMove(target, cause)) {
      stalled.push({attempt, target: target.target, cause});
    }
  }
  return stalled;
}

/** Returns attempts without a first token after `MOVE_TIMEOUT`. */
export function findOverdueAttempts(
  state: RouterState,
  now: MonotonicInstant,
): readonly OverdueAttempt[] {
  const overdue: OverdueAttempt[] = [];
  for (const {target, waiting} of state.targets.values()) {
    for (const {attempt, dispatchedAt} of waiting.values()) {
      // Oldest first, so the rest of this target's attempts is younger.
      if (now - dispatchedAt <= MOVE_TIMEOUT) break;
      overdue.push({attempt, target});
    }
  }
  return overdue;
}

function attemptsToMove(
  target: TargetState,
  cause: EjectionCause,
): readonly AttemptId[] {
  const waiting = [...target.waiting.values()];
  // Failures of other attempts don't affect a stream that makes progress;
  // canceling it would cut off a response in the middle.
  const streaming = cause === 'failures' ? [] : target.streaming.values();
  return (
    [...waiting, ...streaming]
      // No better target was available when it was sent here, so it could not
      // be moved and would end without a response.
      .filter(attempt => !attempt.lastResort)
      .map(({attempt}) => attempt)
  );
}
