import type {MonotonicInstant} from '../../types';
import {DUMPED_TARGETS} from '../constants';
import type {RouterState, TargetState} from '../state';
import type {RouterDump, StalledAttempt, TargetDump} from '../types';
import {estimateLoad, meanOthersPerSlot} from './estimate_load';

/** The router's state for people; bounded by `DUMPED_TARGETS`. */
export function describeRouter(
  state: RouterState,
  now: MonotonicInstant,
): RouterDump {
  const listed = [...state.targets.values()].slice(0, DUMPED_TARGETS);
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
    const attempts = [...target.waiting.keys(), ...target.streaming.keys()];
    for (const attempt of attempts) {
      stalled.push({attempt, target: target.target, cause: health.cause});
    }
  }
  return stalled;
}
