import {unreachable} from '../../kernel/flow';
import type {AttemptId, MonotonicInstant, TargetName} from '../../types';
import {MIN_OBSERVED_WAIT} from '../constants';
import {
  estimateFirstToken,
  estimateLoad,
  estimateWait,
  meanOthersPerSlot,
} from '../queries/estimate_load';
import type {AttemptState, RouterState, TargetState} from '../state';
import {createTargetState} from '../state';
import type {LoadReport, RoutingEvent} from '../types';

/** Applies one event. Events of unknown attempts and targets do nothing. */
export function recordEvent(state: RouterState, event: RoutingEvent): void {
  switch (event.kind) {
    case 'dispatched':
      return recordDispatch(state, event.attempt, event.target, event.now);
    case 'firstToken':
      return recordFirstToken(state, event.attempt, event.now);
    case 'token':
      return recordTokens(state, event.attempt, event.tokens, event.now);
    case 'finished':
      return recordFinish(state, event.attempt, event.now);
    case 'refused':
      removeAttempt(state, event.attempt, event.now);
      return;
    case 'failed':
      return recordFailure(state, event.attempt, event.now);
    case 'reportReceived':
      return recordReport(state, event.report, event.now);
    case 'targetGone':
      return removeTarget(state, event.target, event.now);
    default:
      return unreachable(event);
  }
}

function recordDispatch(
  state: RouterState,
  attempt: AttemptId,
  targetName: TargetName,
  now: MonotonicInstant,
): void {
  const target = state.targets.get(targetName);
  if (target === undefined || state.attempts.has(attempt)) return;
  const load = estimateLoad(state, target, meanOthersPerSlot(state), now);
  const dispatched: AttemptState = {
    attempt,
    target,
    dispatchedAt: now,
    probe: target.health.kind === 'probing',
    loadBefore: load,
    expectedPrefill: estimateFirstToken(state, target),
    lastResort: target.health.kind === 'ejected',
    firstTokenAt: undefined,
    lastProgressAt: now,
  };
  // A target without requests is silent anyway, so silence counts from the
  // first request on.
  if (target.ownInFlight === 0) target.lastProgressAt = now;
  state.attempts.set(attempt, dispatched);
  target.waiting.set(attempt, dispatched);
  countInFlight(state, target, 1, now);
}

function countInFlight(
  state: RouterState,
  target: TargetState,
  change: number,
  now: MonotonicInstant,
): void {
  target.ownInFlight += change;
  target.ownHistory.record(target.ownInFlight, now);
  state.history.record(state.attempts.size, now);
}

function recordFirstToken(
  state: RouterState,
  attemptId: AttemptId,
  now: MonotonicInstant,
): void {
  const attempt = state.attempts.get(attemptId);
  if (attempt === undefined || attempt.firstTokenAt !== undefined) return;
  const {target} = attempt;
  attempt.firstTokenAt = now;
  attempt.lastProgressAt = now;
  target.lastProgressAt = now;
  target.waiting.delete(attemptId);
  target.streaming.set(attemptId, attempt);
  learnFirstToken(state, attempt, now);
  learnLoad(state, attempt, now);
  target.lastFirstTokenAt = now;
  if (attempt.probe) recordPassedProbe(target);
}

function learnFirstToken(
  state: RouterState,
  attempt: AttemptState,
  now: MonotonicInstant,
): void {
  const {target} = attempt;
  if (estimateWait(state, target, attempt.loadBefore) > 0) return;
  const behindAnother = target.lastFirstTokenAt > attempt.dispatchedAt;
  if (behindAnother) state.firstTokenGap.add(now - target.lastFirstTokenAt);
  else target.firstTokenTime.add(now - attempt.dispatchedAt);
}

/**
 * Derives the target's load from a first token, which shows the queue at
 * dispatch more recently than any report: reports may be 5 s late.
 */
function learnLoad(
  state: RouterState,
  attempt: AttemptState,
  now: MonotonicInstant,
): void {
  const {target, dispatchedAt, loadBefore} = attempt;
  if (dispatchedAt <= target.measuredAt) return;
  const waited = now - dispatchedAt - attempt.expectedPrefill;
  const queued = waited > MIN_OBSERVED_WAIT;
  const assumedFull = loadBefore >= target.slots;
  if (queued === assumedFull && !queued) return;
  const behind = (waited * target.slots) / state.serviceTime.value();
  const load = queued ? target.slots + behind : target.slots - 1;
  setLoad(state, target, load, dispatchedAt);
}

/** Sets the target's load at `instant`, including this entry's requests. */
function setLoad(
  state: RouterState,
  target: TargetState,
  load: number,
  instant: MonotonicInstant,
): void {
  // An older report may arrive after more recent data.
  if (instant < target.measuredAt) return;
  const own = target.ownHistory.countAt(instant);
  target.measuredAt = instant;
  target.othersAtReport = Math.max(0, load - own);
  target.allOwnAtReport = state.history.countAt(instant);
}

function recordPassedProbe(target: TargetState): void {
  const {health} = target;
  if (health.kind !== 'probing') return;
  target.health = {...health, passed: health.passed + 1};
}

function recordTokens(
  state: RouterState,
  attemptId: AttemptId,
  tokens: number,
  now: MonotonicInstant,
): void {
  const attempt = state.attempts.get(attemptId);
  if (attempt?.firstTokenAt === undefined || tokens <= 0) return;
  state.tokensSeen = true;
  attempt.target.tokenTime.add((now - attempt.lastProgressAt) / tokens);
  attempt.lastProgressAt = now;
  attempt.target.lastProgressAt = now;
}

function recordFinish(
  state: RouterState,
  attemptId: AttemptId,
  now: MonotonicInstant,
): void {
  const attempt = removeAttempt(state, attemptId, now);
  if (attempt === undefined) return;
  const {target} = attempt;
  target.lastProgressAt = now;
  target.failuresInRow = 0;
  const startedAt = attempt.firstTokenAt ?? attempt.dispatchedAt;
  target.serviceTime.add(now - startedAt);
  state.serviceTime.add(now - startedAt);
}

function recordFailure(
  state: RouterState,
  attemptId: AttemptId,
  now: MonotonicInstant,
): void {
  const attempt = removeAttempt(state, attemptId, now);
  if (attempt === undefined) return;
  attempt.target.failuresInRow += 1;
}

function removeAttempt(
  state: RouterState,
  attemptId: AttemptId,
  now: MonotonicInstant,
): AttemptState | undefined {
  const attempt = state.attempts.get(attemptId);
  if (attempt === undefined) return undefined;
  state.attempts.delete(attemptId);
  attempt.target.waiting.delete(attemptId);
  attempt.target.streaming.delete(attemptId);
  countInFlight(state, attempt.target, -1, now);
  return attempt;
}

function recordReport(
  state: RouterState,
  report: LoadReport,
  now: MonotonicInstant,
): void {
  const target = targetOf(state, report);
  target.zone = report.zone;
  target.service = report.service;
  target.leaving = report.leaving;
  target.loaded = report.loaded;
  target.slots = Math.max(1, report.slots);
  target.cachedPrefixes = new Set(report.cachedPrefixes);
  setLoad(state, target, report.running + report.queued, now - report.age);
}

function targetOf(state: RouterState, report: LoadReport): TargetState {
  const known = state.targets.get(report.target);
  if (known !== undefined) return known;
  const created = createTargetState(report.target, report.zone);
  state.targets.set(report.target, created);
  return created;
}

function removeTarget(
  state: RouterState,
  targetName: TargetName,
  now: MonotonicInstant,
): void {
  const target = state.targets.get(targetName);
  if (target === undefined) return;
  const lost = [...target.waiting.keys(), ...target.streaming.keys()];
  for (const attempt of lost) removeAttempt(state, attempt, now);
  state.targets.delete(targetName);
}
