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

/** The router's state for people; bounded by `DUMPED_TARGETS`. */
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

/** Attempts at ejected targets, which would do better elsewhere. */
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

/** Attempts without a first token after `MOVE_PATIENCE`. */
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
  // Failures of other attempts say nothing about a stream that moves; broken
  // off, it shows as an answer that stops in its middle.
  const streaming = cause === 'failures' ? [] : target.streaming.values();
  return (
    [...waiting, ...streaming]
      // Nothing better could take it when it was sent here: moved on, it would
      // have nowhere to go and end without an answer.
      .filter(attempt => !attempt.lastResort)
      .map(({attempt}) => attempt)
  );
}
