import {
  MAX_FAR_DELAY,
  unreachable,
  type Destinations,
  type ForwardEffect,
  type ForwardReply,
  type ListedTarget,
  type Milliseconds,
  type MonotonicInstant,
  type PlacementRequest,
  type SlotReply,
} from '@hibiscusbeam/core';
import type {WholeAnswer} from './attempt';
import {describeRefusal} from './admission_monitor';
import {priorityOf, workspaceOf} from './entry_admission';
import type {SlotOutcome} from './slot_queue';
import {destinationsIn, isKeyConfirmed} from './request_acceptance';
import type {
  PlannedAttempt,
  RequestRunContext,
  RequestRunOptions,
  TakenSlot,
} from './request_context';
import {createAttemptsInFlight} from './attempts_in_flight';
import {createRequestTrial} from './request_trial';
import {createTargetSender} from './target_sender';
import type {SlotWaitLimits} from './timeliness';

const NO_SLOT_REASONS = {
  full: 'allFull',
  none: 'noTarget',
  leaving: 'targetsLeaving',
  evacuated: 'targetsEvacuated',
  nowhere: 'noAllowedRegion',
  backingOff: 'targetsBackingOff',
  outdated: 'outdatedTargets',
} as const;

/** Performs the effects of one request's flow. */
export interface RequestRun {
  readonly perform: (
    effect: ForwardEffect<ListedTarget>,
  ) => ForwardReply<ListedTarget> | Promise<ForwardReply<ListedTarget>>;
  /** The last complete answer of a target. */
  readonly answer: () => WholeAnswer | undefined;
  /**
   * Ends all attempts, and releases what the request has taken and not used.
   */
  readonly end: () => void;
}

/** Creates the run of one request. */
export function createRequestRun(
  options: RequestRunOptions,
  context: RequestRunContext,
): RequestRun {
  const {accepted, trace, progress, signal, endedBy} = context;
  const {header, service, access, run} = accepted;
  const attempts = createAttemptsInFlight();
  const trial = createRequestTrial(options, [
    accepted.fingerprint,
    ...accepted.promptParts,
  ]);
  const sendTo = createTargetSender(options, context, {
    attempts,
    placementRequestFor,
    mayBegin,
    isChoosing: () => isChoosing,
    keepAnswer: kept => (answer = kept),
    onRun: trial.recordRun,
  });
  let decidedTable = options.operator.table();
  let destinations = accepted.destinations;
  let answer: WholeAnswer | undefined;
  /** Set on arrival, so that later attempts are never refused by the level. */
  let isAdmitted = false;
  let place: TakenSlot | undefined;
  let isChoosing = false;
  let triedTargets: readonly ListedTarget[] = [];

  function placementRequestFor(
    tried: readonly ListedTarget[],
  ): PlacementRequest {
    return {
      service,
      model: header.model,
      minVersion: oldestAllowedVersion(0),
      minFarVersion: oldestAllowedVersion(MAX_FAR_DELAY),
      destinations: destinationsNow(),
      promptTime: run.promptTime,
      expectedRun: run.writingTime,
      expectedTokens: run.tokens,
      memory: run.memory,
      firstEventDeadline: firstEventBy(),
      profile: run.profile,
      tried: new Set(tried.map(target => target.instance)),
      now: options.clock(),
    };
  }

  /**
   * Evaluated with the newest configuration, which may have changed since the
   * request arrived.
   */
  function destinationsNow(): Destinations {
    const table = options.operator.table();
    if (table !== undefined && table !== decidedTable) {
      decidedTable = table;
      const path = context.request.url ?? '/';
      destinations = destinationsIn(table, {header, path}) ?? destinations;
    }
    return destinations;
  }

  /** Objectives count from the caller's first attempt. */
  function firstEventBy(): MonotonicInstant | undefined {
    if (progress.begun) return undefined;
    return options.timeliness.objectiveEnd(accepted);
  }

  function refusalOnArrival(): SlotReply<ListedTarget> | undefined {
    const decision = options.admission.arrive(accepted);
    if (decision.kind === 'admitted') return undefined;
    const reason = 'belowLevel';
    trace.noPlace(describeRefusal(decision.level, priorityOf(accepted)));
    const retryAfter = options.admission.retryAfter(accepted, 0);
    return {kind: 'noPlace', reason, retryAfter};
  }

  /** A trial is a single attempt: no other one starts alongside it. */
  async function takeTrial(): Promise<boolean> {
    return attempts.count() === 0 && (await trial.claim());
  }

  function quarantineRefusal(): ForwardReply<ListedTarget> {
    const reason = 'quarantined';
    const retryAfter = trial.retryAfter();
    return {kind: 'placed', place: {kind: 'noPlace', reason, retryAfter}};
  }

  async function chooseSlot(
    tried: readonly ListedTarget[],
  ): Promise<ForwardReply<ListedTarget>> {
    const refusal = isAdmitted ? undefined : refusalOnArrival();
    if (refusal !== undefined) return {kind: 'placed', place: refusal};
    isAdmitted = true;
    if (trial.isQuarantined() && !(await takeTrial())) {
      return quarantineRefusal();
    }
    triedTargets = [...tried];
    const requestedAt = options.clock();
    const outcome = await takeSlot(triedTargets);
    recordWait(outcome, options.clock() - requestedAt);
    if (outcome === 'withdrawn') return attempts.next();
    if (outcome === 'quarantined') return quarantineRefusal();
    if (outcome.kind === 'place') place = outcome;
    else trace.noPlace(outcome.kind);
    return {kind: 'placed', place: slotReply(outcome)};
  }

  function recordWait(
    outcome: SlotOutcome | 'withdrawn' | 'quarantined',
    waited: Milliseconds,
  ): void {
    if (outcome === 'withdrawn' || outcome === 'quarantined') return;
    if (outcome.kind === 'abandoned') return;
    const refusedFor =
      outcome.kind === 'place' ? undefined : NO_SLOT_REASONS[outcome.kind];
    options.admission.recordWait(accepted, waited, refusedFor);
  }

  /**
   * Waits for a slot, but only until an attempt reports or the request is
   * quarantined.
   */
  async function takeSlot(
    tried: readonly ListedTarget[],
  ): Promise<SlotOutcome | 'withdrawn' | 'quarantined'> {
    if (attempts.hasReport()) return 'withdrawn';
    const withdrawal = new AbortController();
    const quarantined = new AbortController();
    const stopWatching = trial.onQuarantined(() => quarantined.abort());
    if (attempts.count() > 0) {
      void attempts.reported().then(() => withdrawal.abort());
    }
    const outcome = await options.places.take({
      need: () => placementRequestFor(tried),
      promptTime: run.promptTime,
      isResumed: progress.begun,
      priority: priorityOf(accepted),
      isLaterAttempt: options.timeliness.isLaterAttempt(accepted),
      workspace: workspaceOf(accepted),
      slotTime: options.admission.slotTime(accepted),
      ...slotLimits(),
      signal: AbortSignal.any([signal, withdrawal.signal, quarantined.signal]),
    });
    stopWatching();
    const isReported = withdrawal.signal.aborted || attempts.hasReport();
    const isGone = endedBy() !== undefined;
    if (isGone || (!isReported && !quarantined.signal.aborted)) return outcome;
    if (outcome.kind === 'place') releaseSlot(outcome);
    return isReported ? 'withdrawn' : 'quarantined';
  }

  function slotLimits(): SlotWaitLimits {
    const {timeliness} = options;
    const limits = progress.begun
      ? timeliness.resumeLimits(accepted, options.clock())
      : timeliness.limits(accepted);
    // The caller has to wait in any case.
    return attempts.areSilent()
      ? {...limits, waitUntil: accepted.deadline}
      : limits;
  }

  function releaseSlot({inFlight}: TakenSlot): void {
    inFlight.end();
    options.places.pump();
  }

  function slotReply(outcome: SlotOutcome): SlotReply<ListedTarget> {
    switch (outcome.kind) {
      case 'place':
        return {kind: 'place', target: outcome.target};
      case 'abandoned':
        return {kind: endedBy() ?? 'callerGone'};
      case 'full':
      case 'none':
      case 'leaving':
      case 'evacuated':
      case 'nowhere':
      case 'backingOff':
      case 'outdated': {
        const reason = NO_SLOT_REASONS[outcome.kind];
        const minDelay =
          outcome.kind === 'backingOff' ? outcome.until - options.clock() : 0;
        const retryAfter = options.admission.retryAfter(accepted, minDelay);
        return {kind: 'noPlace', reason, retryAfter};
      }
    }
  }

  function oldestAllowedVersion(delay: Milliseconds): number | undefined {
    if (header.model === undefined) return undefined;
    return options.versions.oldestAllowed(
      header.model,
      options.machineClock(),
      delay,
    );
  }

  /**
   * Version that the target must hold, once older ones may not start new
   * requests: the version it is known to hold. The oldest version allowed would
   * turn away a target that already holds a newer one.
   */
  function versionFor(target: ListedTarget): number | undefined {
    if (
      header.model === undefined ||
      oldestAllowedVersion(MAX_FAR_DELAY) === undefined
    ) {
      return undefined;
    }
    return options.registry.heldVersion(target, header.model, options.clock());
  }

  function mayBegin({place: {target}, tried}: PlannedAttempt): boolean {
    if (signal.aborted) return false;
    if (trial.isQuarantined() && !trial.isHeld()) return false;
    if (access.kind === 'workspace' && !isKeyConfirmed(options)) return false;
    return options.registry.mayStart(target, placementRequestFor(tried));
  }

  function send(): Promise<ForwardReply<ListedTarget>> {
    if (place === undefined) throw new Error('an attempt needs a slot');
    const version = versionFor(place.target);
    sendTo({place, tried: triedTargets, version});
    place = undefined;
    return attempts.next();
  }

  /** Resolves to the next report, or to a retry that was denied before. */
  async function nextOrRetry(): Promise<ForwardReply<ListedTarget>> {
    if (attempts.hasReport()) return attempts.next();
    const withdrawal = new AbortController();
    const retry = options.budgets.awaitRetry(service, withdrawal.signal);
    await Promise.race([attempts.reported(), retry]);
    withdrawal.abort();
    // A retry that was granted alongside a report counts: its search for a slot
    // finds the report.
    if (!(await retry)) return attempts.next();
    trace.repeat(true);
    return {kind: 'repeat', allowed: true};
  }

  function perform(
    effect: ForwardEffect<ListedTarget>,
  ): ForwardReply<ListedTarget> | Promise<ForwardReply<ListedTarget>> {
    switch (effect.kind) {
      case 'choosePlace':
        isChoosing = true;
        return chooseSlot(effect.tried).finally(() => (isChoosing = false));
      case 'send':
        return send();
      case 'wait':
        return effect.wantsRetry ? nextOrRetry() : attempts.next();
      case 'takeRepeat': {
        const allowed = options.budgets.takeRetry(service);
        trace.repeat(allowed);
        return {kind: 'repeat', allowed};
      }
      default:
        return unreachable(effect);
    }
  }

  return {
    perform,
    answer: () => answer,
    end: () => {
      attempts.abort();
      trial.release();
    },
  };
}
