import {unreachable, type Flow} from '../kernel/flow';
import type {
  AttemptOutcome,
  ForwardEffect,
  ForwardedRequest,
  ForwardReply,
  ForwardResult,
  NotRunCause,
  SlotReply,
  AttemptReport,
  UnknownCause,
} from './types';

/**
 * Attempts beyond those of the route that a request may make when targets
 * refuse it without running it. Two suffice where lists of targets are a second
 * old; with more, every request would go to every target of a full service.
 */
const EXTRA_ATTEMPTS = 2;

/** Progress of one request. */
interface Progress<Target> {
  tried: Target[];
  /** Attempts, without those whose targets were not reached. */
  reached: number;
  /** Attempts that may have run, including those in flight. */
  possibleRuns: number;
  /** Attempts in flight, as of the last report. */
  attemptsInFlight: number;
  /** Why the outcome of the last attempt that may have run is unknown. */
  lastCause: UnknownCause;
  /** Set once events have reached the caller. */
  streamBegun: boolean;
  lastEventId: string | undefined;
  /** Whether a complete answer of an earlier attempt is available. */
  hasAnswer: boolean;
  /** Whether a retry was taken from the budget that no attempt has used yet. */
  retryTaken: boolean;
  /** Whether a denied retry is still wanted for the attempts in flight. */
  wantsRetry: boolean;
}

/** What the flow does next. */
type Step =
  | {readonly kind: 'search'}
  | {readonly kind: 'wait'}
  | {readonly kind: 'end'; readonly result: ForwardResult};

type StepFlow<Target> = Flow<ForwardEffect<Target>, ForwardReply<Target>, Step>;

/**
 * Decides what happens to one request, from the first target to the final
 * answer. A silent attempt is not given up: another one may be started
 * alongside it, and the first that has something for the caller wins. A request
 * that may not be retried is sent again only on evidence that nothing ran, and
 * only such evidence leads to the answer "not run".
 */
export function* forwardRequest<Target>(
  request: ForwardedRequest,
): Flow<ForwardEffect<Target>, ForwardReply<Target>, ForwardResult> {
  const progress: Progress<Target> = {
    tried: [],
    reached: 0,
    possibleRuns: 0,
    attemptsInFlight: 0,
    lastCause: 'connectionLost',
    streamBegun: false,
    lastEventId: undefined,
    hasAnswer: false,
    retryTaken: false,
    wantsRetry: false,
  };
  let step: Step = {kind: 'search'};
  for (;;) {
    switch (step.kind) {
      case 'search':
        step = yield* chooseTargetAndSend(request, progress);
        break;
      case 'wait': {
        const {wantsRetry} = progress;
        const reply = yield {kind: 'wait', wantsRetry};
        if (reply.kind === 'repeat') {
          step = afterRetryReply(progress, reply.allowed);
          break;
        }
        step = yield* afterReport(request, progress, reportOf(reply));
        break;
      }
      case 'end':
        return step.result;
      default:
        return unreachable(step);
    }
  }
}

/** Chooses a target and sends the request there. */
function* chooseTargetAndSend<Target>(
  request: ForwardedRequest,
  progress: Progress<Target>,
): StepFlow<Target> {
  const reply = yield {kind: 'choosePlace', tried: progress.tried};
  if (reply.kind === 'sent') {
    return yield* afterReport(request, progress, reply);
  }
  const slot = slotOf(reply);
  if (slot.kind !== 'place') return withoutSlot(progress, slot);
  const {target} = slot;
  progress.tried.push(target);
  progress.reached += 1;
  progress.possibleRuns += 1;
  progress.attemptsInFlight += 1;
  progress.retryTaken = false;
  const report = reportOf(
    yield {kind: 'send', target, resumeAfter: progress.lastEventId},
  );
  return yield* afterReport(request, progress, report);
}

/**
 * Continues after a report: with another attempt, by waiting, or with an
 * answer.
 */
function* afterReport<Target>(
  request: ForwardedRequest,
  progress: Progress<Target>,
  {outcome, attemptsInFlight, silent}: AttemptReport,
): StepFlow<Target> {
  progress.attemptsInFlight = attemptsInFlight;
  progress.wantsRetry = false;
  const consequence = consequenceOf(request, progress, outcome);
  if (consequence.kind === 'end') return consequence;
  const {mayRetry, otherwise} = consequence;
  const isAnyNotSilent =
    silent < attemptsInFlight && outcome.kind !== 'handedOn';
  if (mayRetry && !isAnyNotSilent) {
    const isRetry = mayHaveReachedTarget(outcome);
    if (!isRetry || (yield* takeRetry(progress))) return {kind: 'search'};
    progress.wantsRetry = true;
  }
  if (attemptsInFlight > 0) return {kind: 'wait'};
  return {kind: 'end', result: otherwise};
}

/**
 * Continues after a late decision on a denied retry. Without this, a request
 * whose target falls silent while the budget is briefly exhausted would wait
 * for that target until its deadline, though retries are allowed again 50 ms
 * later.
 */
function afterRetryReply<Target>(
  progress: Progress<Target>,
  allowed: boolean,
): Step {
  progress.wantsRetry = false;
  progress.retryTaken = allowed;
  return {kind: allowed ? 'search' : 'wait'};
}

/** Whether any part of the request may have reached the attempt's target. */
function mayHaveReachedTarget(outcome: AttemptOutcome): boolean {
  if (outcome.kind !== 'notRun') return true;
  return outcome.cause !== 'outdated' && !isUnreached(outcome.cause);
}

/** Whether no connection to the attempt's target was established. */
function isUnreached(cause: NotRunCause): boolean {
  switch (cause) {
    case 'notConnected':
    case 'connectionRefused':
      return true;
    case 'outdated':
    case 'refusedByTarget':
    case 'misdirected':
      return false;
    default:
      return unreachable(cause);
  }
}

function* takeRetry<Target>(
  progress: Progress<Target>,
): Flow<ForwardEffect<Target>, ForwardReply<Target>, boolean> {
  if (progress.retryTaken) return true;
  const reply = yield {kind: 'takeRepeat'};
  progress.retryTaken = reply.kind === 'repeat' && reply.allowed;
  return progress.retryTaken;
}

/** How a request continues after a report. */
type Consequence =
  | {readonly kind: 'end'; readonly result: ForwardResult}
  | {
      readonly kind: 'open';
      /** Whether the request may be sent again. */
      readonly mayRetry: boolean;
      /** The answer if it isn't, and no attempt is in flight. */
      readonly otherwise: ForwardResult;
    };

function consequenceOf<Target>(
  request: ForwardedRequest,
  progress: Progress<Target>,
  outcome: AttemptOutcome,
): Consequence {
  switch (outcome.kind) {
    case 'streamed':
    case 'callerGone':
      return {kind: 'end', result: outcome};
    case 'timedOut':
      return {kind: 'end', result: atDeadline(progress, true)};
    case 'answered':
      return afterAnswer(request, progress, outcome.success);
    case 'notRun': {
      progress.possibleRuns -= 1;
      if (isUnreached(outcome.cause)) progress.reached -= 1;
      const {cause: reason} = outcome;
      const notRun = {kind: 'notRun', reason, retryAfter: undefined} as const;
      return {
        kind: 'open',
        mayRetry: maySendAgain(request, progress),
        otherwise: giveUp(progress, notRun),
      };
    }
    case 'unknown':
      progress.lastCause = outcome.cause;
      return withoutAnswer(request, progress);
    case 'broken':
      progress.lastCause = outcome.cause;
      recordEvents(progress, outcome.lastEventId);
      return withoutAnswer(request, progress);
    case 'silent':
      if (outcome.streamBegun) recordEvents(progress, outcome.lastEventId);
      return withoutAnswer(request, progress);
    case 'goesOn':
      return {...withoutAnswer(request, progress), mayRetry: false};
    case 'handedOn':
      progress.retryTaken = true;
      recordEvents(progress, outcome.lastEventId);
      return withoutAnswer(request, progress);
    default:
      return unreachable(outcome);
  }
}

function afterAnswer<Target>(
  request: ForwardedRequest,
  progress: Progress<Target>,
  success: boolean,
): Consequence {
  // A stream that has begun has sent its headers: its status can't change.
  if (progress.streamBegun) {
    progress.lastCause = 'malformedAnswer';
    return {...withoutAnswer(request, progress), mayRetry: false};
  }
  progress.hasAnswer = true;
  if (success) return {kind: 'end', result: {kind: 'passOn'}};
  return withoutAnswer(request, progress);
}

/** How a request continues if an attempt that may have run has no answer. */
function withoutAnswer<Target>(
  request: ForwardedRequest,
  progress: Progress<Target>,
): Extract<Consequence, {kind: 'open'}> {
  return {
    kind: 'open',
    mayRetry: mayRunAgain(request, progress),
    otherwise: giveUp(progress, {kind: 'unknown', cause: progress.lastCause}),
  };
}

/** Records that events have reached the caller. */
function recordEvents<Target>(
  progress: Progress<Target>,
  lastEventId: string | undefined,
): void {
  progress.streamBegun = true;
  progress.lastEventId = lastEventId ?? progress.lastEventId;
}

/** Whether a request may be sent again if its last attempt has not run. */
function maySendAgain<Target>(
  request: ForwardedRequest,
  progress: Progress<Target>,
): boolean {
  if (progress.reached >= request.attempts + EXTRA_ATTEMPTS) return false;
  return !progress.streamBegun || progress.lastEventId !== undefined;
}

/** Whether a request that may have run may be sent again. */
function mayRunAgain<Target>(
  request: ForwardedRequest,
  progress: Progress<Target>,
): boolean {
  if (progress.possibleRuns >= request.attempts) return false;
  return maySendAgain(request, progress) && isRepeatable(request);
}

/** Whether a request may run again on another target. */
export function isRepeatable(
  request: Pick<ForwardedRequest, 'kind' | 'resumable'>,
): boolean {
  switch (request.kind) {
    case 'safe':
      return true;
    case 'unsafe':
      return false;
    case 'stream':
      return request.resumable;
    default:
      return unreachable(request.kind);
  }
}

function withoutSlot<Target>(
  progress: Progress<Target>,
  slot: Exclude<SlotReply<Target>, {kind: 'place'}>,
): Step {
  switch (slot.kind) {
    case 'callerGone':
      return {kind: 'end', result: {kind: 'callerGone'}};
    case 'timedOut':
      return {
        kind: 'end',
        result: atDeadline(progress, progress.possibleRuns > 0),
      };
    case 'noPlace': {
      if (progress.attemptsInFlight > 0) return {kind: 'wait'};
      const {reason, retryAfter} = slot;
      const notRun = {kind: 'notRun', reason, retryAfter} as const;
      return {kind: 'end', result: giveUp(progress, notRun)};
    }
    default:
      return unreachable(slot);
  }
}

function atDeadline<Target>(
  progress: Progress<Target>,
  mayHaveRun: boolean,
): ForwardResult {
  if (progress.streamBegun) return {kind: 'cut', cause: 'timedOut'};
  if (progress.hasAnswer) return {kind: 'passOn'};
  return {kind: 'timedOut', mayHaveRun};
}

/** The answer if no attempt is left; "not run" only if nothing ran. */
function giveUp<Target>(
  progress: Progress<Target>,
  ifNothingRan: ForwardResult,
): ForwardResult {
  const {lastCause: cause} = progress;
  if (progress.streamBegun) return {kind: 'cut', cause};
  if (progress.hasAnswer) return {kind: 'passOn'};
  if (progress.possibleRuns > 0 && ifNothingRan.kind === 'notRun') {
    return {kind: 'unknown', cause};
  }
  return ifNothingRan;
}

function slotOf<Target>(reply: ForwardReply<Target>): SlotReply<Target> {
  if (reply.kind !== 'placed') throw new Error('expected a choice of place');
  return reply.place;
}

function reportOf<Target>(reply: ForwardReply<Target>): AttemptReport {
  if (reply.kind !== 'sent') throw new Error('expected the report of a send');
  return reply;
}
