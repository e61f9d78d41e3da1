import type {Result} from 'ts-results';
import {Err, Ok} from 'ts-results';
import {unreachable} from '../../kernel/flow';
import type {Milliseconds} from '../../types';
import {
  AFFINITY_BONUS,
  FREE_LOAD,
  IDLE_LOAD,
  LOAD_BOUND_FACTOR,
  LOAD_BOUND_FLOOR,
  NO_TARGET_RETRY_AFTER,
  OTHER_ZONE_COST,
  SATURATED_BOUND_FACTOR,
} from '../constants';
import {rendezvousScore} from '../prefix';
import type {RouterState, TargetState} from '../state';
import type {
  NoTargetError,
  RoutedWork,
  TargetChoice,
  TargetRequest,
} from '../types';
import {
  estimateFirstToken,
  estimateLoad,
  estimateWait,
  meanOthersPerSlot,
} from './estimate_load';

/** A target that may be chosen, with its load as estimated for one request. */
interface Candidate {
  readonly target: TargetState;
  readonly load: number;
  readonly score: number;
}

/**
 * Chooses by rendezvous hashing of the prompt prefix with bounded loads: of the
 * two targets with the highest scores below the load bound, the one with the
 * lower cost.
 */
export function chooseTarget(
  state: RouterState,
  request: TargetRequest,
): Result<TargetChoice, NoTargetError> {
  const eligible = collectEligible(state, request);
  if (eligible.length === 0) {
    return Err({kind: 'noTarget', retryAfter: NO_TARGET_RETRY_AFTER});
  }
  const probe = eligible.find(candidate => wantsProbe(candidate.target));
  if (probe !== undefined) return Ok(describe(state, probe));
  return Ok(describe(state, pickCandidate(state, request, eligible)));
}

function collectEligible(
  state: RouterState,
  request: TargetRequest,
): readonly Candidate[] {
  const meanOthers = meanOthersPerSlot(state);
  const healthy: Candidate[] = [];
  const ejected: Candidate[] = [];
  for (const target of state.targets.values()) {
    if (!mayServe(target, request)) continue;
    const candidate = {
      target,
      load: estimateLoad(state, target, meanOthers, request.now),
      score: rendezvousScore(request.prefix, target.targetHash),
    };
    if (takesRequests(target)) healthy.push(candidate);
    else ejected.push(candidate);
  }
  // If every target is ejected, a slow response is better than none: without
  // this, a shared fault such as a bad version would refuse all callers.
  return healthy.length > 0 ? healthy : ejected;
}

function mayServe(target: TargetState, request: TargetRequest): boolean {
  // New work on a leaving target would be cut off when its instance stops.
  if (target.leaving) return false;
  if (request.exclude.includes(target.target)) return false;
  return serves(target, request.work);
}

/** Whether the target itself reports that it serves the work. */
function serves(target: TargetState, work: RoutedWork): boolean {
  switch (work.kind) {
    case 'service':
      return target.service === work.service;
    case 'model':
      return target.loaded.some(
        served =>
          served.model === work.model &&
          (work.versionDigest === undefined ||
            served.versionDigest === work.versionDigest),
      );
    default:
      return unreachable(work);
  }
}

function takesRequests(target: TargetState): boolean {
  return target.health.kind === 'healthy' || wantsProbe(target);
}

/** Whether a target needs a probe; one request at a time tests its recovery. */
function wantsProbe(target: TargetState): boolean {
  return target.health.kind === 'probing' && target.waiting.size === 0;
}

function pickCandidate(
  state: RouterState,
  request: TargetRequest,
  eligible: readonly Candidate[],
): Candidate {
  const bound = loadBound(meanLoadPerSlot(eligible));
  let first: Candidate | undefined;
  let second: Candidate | undefined;
  for (const candidate of eligible) {
    if (isOverBound(candidate, bound)) continue;
    if (first === undefined || candidate.score > first.score) {
      second = first;
      first = candidate;
    } else if (second === undefined || candidate.score > second.score) {
      second = candidate;
    }
  }
  if (first === undefined) return leastLoaded(eligible);
  if (second === undefined) return first;
  const firstCost = cost(state, request, first) - AFFINITY_BONUS;
  return firstCost <= cost(state, request, second) ? first : second;
}

/**
 * Maximum load of a target per slot. Near saturation the bound is tighter, as
 * requests would otherwise wait at one target while others have free slots.
 */
function loadBound(mean: number): number {
  const free = Math.min(LOAD_BOUND_FACTOR * mean, FREE_LOAD);
  return Math.max(SATURATED_BOUND_FACTOR * mean, free, LOAD_BOUND_FLOOR);
}

/** Mean load per slot including the new request. */
function meanLoadPerSlot(eligible: readonly Candidate[]): number {
  let load = 1;
  let slots = 0;
  for (const candidate of eligible) {
    load += candidate.load;
    slots += candidate.target.slots;
  }
  return load / Math.max(1, slots);
}

/**
 * Whether a target is over the load bound. Without it, a popular prefix would
 * overload its first choice: its callers would wait while other targets are
 * idle.
 */
function isOverBound(candidate: Candidate, bound: number): boolean {
  const slots = candidate.target.slots;
  const allowed = slots * bound;
  return candidate.load + 1 > Math.max(1, allowed);
}

function leastLoaded(eligible: readonly Candidate[]): Candidate {
  return eligible.reduce((least, candidate) =>
    candidate.load / candidate.target.slots < least.load / least.target.slots
      ? candidate
      : least,
  );
}

function cost(
  state: RouterState,
  request: TargetRequest,
  candidate: Candidate,
): Milliseconds {
  const {target, load} = candidate;
  const zoneCost = target.zone === request.zone ? 0 : OTHER_ZONE_COST;
  const cached = target.cachedPrefixes.has(request.prefix);
  const prefill = cached ? 0 : estimateFirstToken(state, target);
  return estimateWait(state, target, load) + prefill + zoneCost;
}

function describe(state: RouterState, candidate: Candidate): TargetChoice {
  const {target, load} = candidate;
  const expectedWait = estimateWait(state, target, load);
  return {
    target: target.target,
    expectedWait,
    expectedLoad: (load + 1) / target.slots,
    expectedFirstToken: expectedWait + estimateFirstToken(state, target),
    expectedTokenTime: target.tokenTime.value(),
    turnTime: state.serviceTime.value() / Math.max(1, state.attempts.size),
    idle: load + 1 <= IDLE_LOAD * target.slots && target.waiting.size === 0,
    probe: target.health.kind === 'probing',
  };
}
