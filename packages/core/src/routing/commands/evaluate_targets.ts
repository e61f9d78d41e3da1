import type {Milliseconds, MonotonicInstant} from '../../types';
import {
  FAILURES_TO_EJECT,
  FIRST_TOKEN_STALL_FACTOR,
  FIRST_TOKEN_STALL_TIME,
  MAX_EJECTED_SHARE,
  MAX_EJECTION_TIME,
  PROBES_TO_RECOVER,
  SAMPLES_TO_COMPARE,
  MIN_EJECTION_TIME,
  SLOW_FACTOR,
  SLOW_MARGIN,
  STALL_TIME,
  STALL_TOKEN_TIMES,
} from '../constants';
import type {RouterState, TargetState} from '../state';
import type {EjectionCause} from '../types';

/**
 * Ejects outliers and allows ejected targets to be probed. Call every 100 ms.
 */
export function evaluateTargets(
  state: RouterState,
  now: MonotonicInstant,
): void {
  updateMedians(state);
  for (const target of state.targets.values()) {
    evaluateTarget(state, target, now);
  }
}

function updateMedians(state: RouterState): void {
  const compared = [...state.targets.values()].filter(
    target =>
      target.health.kind === 'healthy' &&
      target.tokenTime.samples() >= SAMPLES_TO_COMPARE,
  );
  state.medians.compared = compared.length;
  if (compared.length === 0) return;
  state.medians.tokenTime = median(compared.map(t => t.tokenTime.value()));
  state.medians.firstTokenTime = median(
    compared.map(target => target.firstTokenTime.value()),
  );
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
}

function evaluateTarget(
  state: RouterState,
  target: TargetState,
  now: MonotonicInstant,
): void {
  switch (target.health.kind) {
    case 'healthy': {
      const cause = findFault(state, target, now);
      if (cause !== undefined && mayEject(state)) eject(target, cause, now);
      return;
    }
    case 'ejected':
      if (now >= target.health.until) startProbing(target);
      return;
    case 'probing':
      evaluateProbe(state, target, now);
      return;
  }
}

function findFault(
  state: RouterState,
  target: TargetState,
  now: MonotonicInstant,
): EjectionCause | undefined {
  if (target.failuresInRow >= FAILURES_TO_EJECT) return 'failures';
  if (isStalled(state, target, now)) return 'stalled';
  if (isSlow(state, target)) return 'slow';
  return undefined;
}

/**
 * Whether a target is frozen: its connections stay open and its reports look
 * healthy, but no stream makes progress. Any progress resets the check.
 */
function isStalled(
  state: RouterState,
  target: TargetState,
  now: MonotonicInstant,
): boolean {
  if (target.ownInFlight === 0) return false;
  const silence = now - target.lastProgressAt;
  if (state.tokensSeen && target.streaming.size > 0) {
    const timeout = STALL_TOKEN_TIMES * state.medians.tokenTime;
    return silence > Math.max(STALL_TIME, timeout);
  }
  return silence > firstTokenTimeout(state);
}

/** How long a first token may take before its target counts as stalled. */
function firstTokenTimeout(state: RouterState): Milliseconds {
  const relative = FIRST_TOKEN_STALL_FACTOR * state.medians.firstTokenTime;
  return Math.max(FIRST_TOKEN_STALL_TIME, relative);
}

/**
 * Whether a target is slow compared with its peers rather than with a fixed
 * time. Imperceptible differences don't count: equal targets would be ejected
 * in turn, and callers would see responses that are cut off and restarted.
 */
function isSlow(state: RouterState, target: TargetState): boolean {
  const {medians} = state;
  if (medians.compared < 2) return false;
  if (target.tokenTime.samples() < SAMPLES_TO_COMPARE) return false;
  const {tokenTime} = medians;
  const allowed = Math.max(SLOW_FACTOR * tokenTime, tokenTime + SLOW_MARGIN);
  return target.tokenTime.value() > allowed;
}

/**
 * Whether one more target may be ejected. A fault of all targets is not an
 * outlier, and must not eject the whole site.
 */
function mayEject(state: RouterState): boolean {
  let ejected = 1;
  for (const target of state.targets.values()) {
    if (target.health.kind !== 'healthy') ejected += 1;
  }
  return ejected <= MAX_EJECTED_SHARE * state.targets.size;
}

function eject(
  target: TargetState,
  cause: EjectionCause,
  now: MonotonicInstant,
): void {
  const time = MIN_EJECTION_TIME * 2 ** Math.min(10, target.ejections);
  target.ejections += 1;
  target.health = {
    kind: 'ejected',
    cause,
    until: now + Math.min(MAX_EJECTION_TIME, time),
  };
}

function startProbing(target: TargetState): void {
  if (target.health.kind !== 'ejected') return;
  target.failuresInRow = 0;
  target.tokenTime.reset();
  target.firstTokenTime.reset();
  target.health = {kind: 'probing', cause: target.health.cause, passed: 0};
}

function evaluateProbe(
  state: RouterState,
  target: TargetState,
  now: MonotonicInstant,
): void {
  if (target.health.kind !== 'probing') return;
  if (target.failuresInRow > 0) return eject(target, 'failures', now);
  if (isStalled(state, target, now)) return eject(target, 'stalled', now);
  if (isSlow(state, target)) return eject(target, 'slow', now);
  if (target.health.passed < PROBES_TO_RECOVER) return;
  const measured = target.tokenTime.samples() >= SAMPLES_TO_COMPARE;
  if (state.tokensSeen && !measured) return;
  target.ejections = 0;
  target.health = {kind: 'healthy'};
}
