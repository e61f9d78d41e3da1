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
import {describeRefusal} from './admission_watch';
import {priorityOf, workspaceOf} from './entry_admission';
import type {PlaceOutcome} from './place_queue';
import {destinationsIn, isKeyConfirmed} from './request_acceptance';
import type {
  PlannedSend,
  RequestRunContext,
  RequestRunOptions,
  TakenPlace,
} from './request_context';
import {createSendsUnderWay} from './sends_under_way';
import {createTargetSender} from './target_send';
import type {PlaceLimits} from './timeliness';

const NO_PLACE_REASONS = {
  full: 'allFull',
  none: 'noTarget',
  leaving: 'targetsLeaving',
  evacuated: 'targetsEvacuated',
  nowhere: 'noAllowedRegion',
  backingOff: 'targetsBackingOff',
  outdated: 'outdatedTargets',
} as const;

/** Carries out the effects of one request's flow. */
export interface RequestRun {
  readonly perform: (
    effect: ForwardEffect<ListedTarget>,
  ) => ForwardReply<ListedTarget> | Promise<ForwardReply<ListedTarget>>;
  /** The last whole answer of a target. */
  readonly answer: () => WholeAnswer | undefined;
  /** Ends all sends; gives back what the request has taken and not used. */
  readonly end: () => void;
}

/** Creates what carries out the flow of one request. */
export function createRequestRun(
  options: RequestRunOptions,
  context: RequestRunContext,
): RequestRun {
  const {accepted, story, progress, signal, endedBy} = context;
  const {header, service, access, run, fingerprint} = accepted;
  const sends = createSendsUnderWay();
  const sendTo = createTargetSender(options, context, {
    sends,
    needOf,
    mayBegin,
    isChoosing: () => isChoosing,
    keepAnswer: kept => (answer = kept),
    onRun: () => {
      if (trial === 'held') trial = 'used';
    },
  });
  let decidedBy = options.operator.table();
  let destinations = accepted.destinations;
  let answer: WholeAnswer | undefined;
  /** Set on arrival, so that later sends are never refused by the level. */
  let isAdmitted = false;
  let place: TakenPlace | undefined;
  let isChoosing = false;
  let triedBefore: readonly ListedTarget[] = [];
  let trial: 'none' | 'held' | 'used' = 'none';

  function needOf(tried: readonly ListedTarget[]): PlacementRequest {
    return {
      service,
      model: header.model,
      minVersion: leastVersion(0),
      minFarVersion: leastVersion(MAX_FAR_DELAY),
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

  /** By the newest configuration, which may have changed since the request came. */
  function destinationsNow(): Destinations {
    const table = options.operator.table();
    if (table !== undefined && table !== decidedBy) {
      decidedBy = table;
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
    story.noPlace(describeRefusal(decision.level, priorityOf(accepted)));
    const retryAfter = options.admission.retryAfter(accepted, 0);
    return {kind: 'noPlace', reason, retryAfter};
  }

  function isQuarantined(): boolean {
    return options.quarantine.isQuarantined(fingerprint);
  }

  /** A trial is one send: nothing is begun beside it. */
  async function takeTrial(): Promise<boolean> {
    if (sends.count() > 0) return false;
    if (trial === 'none' && (await options.trials.claim(fingerprint))) {
      trial = 'held';
    }
    return trial === 'held';
  }

  async function choosePlace(
    tried: readonly ListedTarget[],
  ): Promise<ForwardReply<ListedTarget>> {
    const refusal = isAdmitted ? undefined : refusalOnArrival();
    if (refusal !== undefined) return {kind: 'placed', place: refusal};
    isAdmitted = true;
    if (isQuarantined() && !(await takeTrial())) {
      const retryAfter = options.trials.retryAfter(fingerprint);
      const reason = 'quarantined';
      return {kind: 'placed', place: {kind: 'noPlace', reason, retryAfter}};
    }
    triedBefore = [...tried];
    const askedAt = options.clock();
    const outcome = await takePlace(triedBefore);
    noteWait(outcome, options.clock() - askedAt);
    if (outcome === 'withdrawn') return sends.next();
    if (outcome.kind === 'place') place = outcome;
    else story.noPlace(outcome.kind);
    return {kind: 'placed', place: placeReply(outcome)};
  }

  function noteWait(
    outcome: PlaceOutcome | 'withdrawn',
    waited: Milliseconds,
  ): void {
    if (outcome === 'withdrawn' || outcome.kind === 'abandoned') return;
    const refusedFor =
      outcome.kind === 'place' ? undefined : NO_PLACE_REASONS[outcome.kind];
    options.admission.noteWait(accepted, waited, refusedFor);
  }

  /** Waits for a place, but for no longer than until a send reports. */
  async function takePlace(
    tried: readonly ListedTarget[],
  ): Promise<PlaceOutcome | 'withdrawn'> {
    if (sends.hasReport()) return 'withdrawn';
    const withdrawal = new AbortController();
    if (sends.count() > 0) {
      void sends.reported().then(() => withdrawal.abort());
    }
    const outcome = await options.places.take({
      need: () => needOf(tried),
      promptTime: run.promptTime,
      isResumed: progress.begun,
      priority: priorityOf(accepted),
      isLaterAttempt: options.timeliness.isLaterAttempt(accepted),
      workspace: workspaceOf(accepted),
      slotTime: options.admission.placeTime(accepted),
      ...placeLimits(),
      signal: AbortSignal.any([signal, withdrawal.signal]),
    });
    const isReported = withdrawal.signal.aborted || sends.hasReport();
    if (endedBy() !== undefined || !isReported) return outcome;
    if (outcome.kind === 'place') giveBack(outcome);
    return 'withdrawn';
  }

  function placeLimits(): PlaceLimits {
    const {timeliness} = options;
    const limits = progress.begun
      ? timeliness.resumeLimits(accepted, options.clock())
      : timeliness.limits(accepted);
    // Its caller waits in any case.
    return sends.areSilent()
      ? {...limits, waitUntil: accepted.deadline}
      : limits;
  }

  function giveBack({inHand}: TakenPlace): void {
    inHand.end();
    options.places.pump();
  }

  function placeReply(outcome: PlaceOutcome): SlotReply<ListedTarget> {
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
        const reason = NO_PLACE_REASONS[outcome.kind];
        const least =
          outcome.kind === 'backingOff' ? outcome.until - options.clock() : 0;
        const retryAfter = options.admission.retryAfter(accepted, least);
        return {kind: 'noPlace', reason, retryAfter};
      }
    }
  }

  function leastVersion(delay: Milliseconds): number | undefined {
    if (header.model === undefined) return undefined;
    return options.versions.oldestAllowed(
      header.model,
      options.machineClock(),
      delay,
    );
  }

  /**
   * The version that the target must have, once older ones may not start
   * anything: the one it is known to hold. Naming the oldest one allowed
   * would turn away a target that already holds a newer one.
   */
  function versionFor(target: ListedTarget): number | undefined {
    if (
      header.model === undefined ||
      leastVersion(MAX_FAR_DELAY) === undefined
    ) {
      return undefined;
    }
    return options.book.heldVersion(target, header.model, options.clock());
  }

  function mayBegin({place: {target}, tried}: PlannedSend): boolean {
    if (signal.aborted) return false;
    if (isQuarantined() && trial !== 'held') return false;
    if (access.kind === 'workspace' && !isKeyConfirmed(options)) return false;
    return options.book.mayStart(target, needOf(tried));
  }

  function send(): Promise<ForwardReply<ListedTarget>> {
    if (place === undefined) throw new Error('a send without a place');
    const version = versionFor(place.target);
    sendTo({place, tried: triedBefore, version});
    place = undefined;
    return sends.next();
  }

  /** The next report, or a repeat that was denied before. */
  async function nextOrRepeat(): Promise<ForwardReply<ListedTarget>> {
    if (sends.hasReport()) return sends.next();
    const withdrawal = new AbortController();
    const repeat = options.budgets.awaitRepeat(service, withdrawal.signal);
    await Promise.race([sends.reported(), repeat]);
    withdrawal.abort();
    // One that was granted beside a report counts: its search meets the report.
    if (!(await repeat)) return sends.next();
    story.repeat(true);
    return {kind: 'repeat', allowed: true};
  }

  function perform(
    effect: ForwardEffect<ListedTarget>,
  ): ForwardReply<ListedTarget> | Promise<ForwardReply<ListedTarget>> {
    switch (effect.kind) {
      case 'choosePlace':
        isChoosing = true;
        return choosePlace(effect.tried).finally(() => (isChoosing = false));
      case 'send':
        return send();
      case 'wait':
        return effect.wantsRetry ? nextOrRepeat() : sends.next();
      case 'takeRepeat': {
        const allowed = options.budgets.takeRepeat(service);
        story.repeat(allowed);
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
      sends.abort();
      if (trial === 'held') options.trials.giveBack(fingerprint);
    },
  };
}
