import type {Milliseconds, MonotonicInstant} from '../../types';
import {GROWTH_PRIOR, MAX_GROWTH, HALF_TRUST_REPORT_AGE} from '../constants';
import type {RouterState, TargetState} from '../state';

/**
 * Load of the other entries on `target`, from its last report, weighted by age.
 */
function estimateOthers(
  state: RouterState,
  target: TargetState,
  meanOthersPerSlot: number,
  now: MonotonicInstant,
): number {
  const age = Math.max(0, now - target.measuredAt);
  const trust = HALF_TRUST_REPORT_AGE / (HALF_TRUST_REPORT_AGE + age);
  const mean = meanOthersPerSlot * target.slots;
  const aged = mean + (target.othersAtReport - mean) * trust;
  return aged * growthSince(state, target);
}

/**
 * Growth of the load since the last report. Callers are spread over the
 * entries, so a burst at this entry reaches the others too, long before a
 * report shows it.
 */
function growthSince(state: RouterState, target: TargetState): number {
  const then = target.allOwnAtReport + GROWTH_PRIOR;
  const growth = (state.attempts.size + GROWTH_PRIOR) / then;
  return Math.min(MAX_GROWTH, Math.max(1 / MAX_GROWTH, growth));
}

/** Mean load of other entries per slot, over all targets that reported. */
export function meanOthersPerSlot(state: RouterState): number {
  let others = 0;
  let slots = 0;
  for (const target of state.targets.values()) {
    others += target.othersAtReport;
    slots += target.slots;
  }
  return slots === 0 ? 0 : others / slots;
}

/**
 * Requests running and waiting at `target`: this entry's current ones plus the
 * estimate for the others.
 */
export function estimateLoad(
  state: RouterState,
  target: TargetState,
  meanOthers: number,
  now: MonotonicInstant,
): number {
  return target.ownInFlight + estimateOthers(state, target, meanOthers, now);
}

/** Expected wait for a slot at `load`, from the measured time in a slot. */
export function estimateWait(
  state: RouterState,
  target: TargetState,
  load: number,
): Milliseconds {
  const ahead = load + 1 - target.slots;
  if (ahead <= 0) return 0;
  return (ahead * state.serviceTime.value()) / target.slots;
}

/**
 * Expected time to the first token once a slot is free: the prompt's own
 * prefill and that of this entry's requests that wait for theirs.
 */
export function estimateFirstToken(
  state: RouterState,
  target: TargetState,
): Milliseconds {
  const known = target.firstTokenTime.samples() > 0;
  const alone = known
    ? target.firstTokenTime.value()
    : state.medians.firstTokenTime;
  return alone + target.waiting.size * state.firstTokenGap.value();
}
