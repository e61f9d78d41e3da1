import {unreachable, type Flow} from '../kernel/flow';
import type {
  AttemptOutcome,
  ForwardEffect,
  ForwardedRequest,
  ForwardReply,
  ForwardResult,
  NotRunCause,
  PlaceReply,
  UnknownCause,
} from './types';

/**
 * Sends beyond the attempts of the route that a request may take when targets
 * refuse it unrun. Two suffice where lists of targets are a second old; more
 * would let a full service be asked by everybody.
 */
const EXTRA_SENDS = 2;

/** How far a request has come. */
interface Progress<Target> {
  tried: Target[];
  sends: number;
  /** Attempts that may have run. */
  runs: number;
  /** Why nothing is known of the last of them. */
  lastCause: UnknownCause;
  /** Set once events have reached the caller. */
  streamBegun: boolean;
  lastEventId: string | undefined;
  /** Whether a whole answer of an earlier attempt is at hand. */
  answerAtHand: boolean;
}

/**
 * Decides what happens to one request, from the first target to the final
 * answer.
 *
 * Failure: a request that may not run twice is sent again after a reset, and a
 * doubled charge shows at the caller. Guard: only evidence that nothing ran
 * (`notRun`) leads to a second send of such a request, and only it leads to the
 * answer "not run".
 */
export function* forwardRequest<Target>(
  request: ForwardedRequest,
): Flow<ForwardEffect<Target>, ForwardReply<Target>, ForwardResult> {
  const progress: Progress<Target> = {
    tried: [],
    sends: 0,
    runs: 0,
    lastCause: 'connectionLost',
    streamBegun: false,
    lastEventId: undefined,
    answerAtHand: false,
  };
  for (;;) {
    const place = placeOf(yield {kind: 'choosePlace', tried: progress.tried});
    if (place.kind !== 'place') return withoutPlace(progress, place);
    const {target} = place;
    progress.tried.push(target);
    progress.sends += 1;
    const outcome = outcomeOf(
      yield {kind: 'send', target, resumeAfter: progress.lastEventId},
    );
    if (outcome.kind === 'handedOn') {
      noteStreamEnd(progress, outcome.lastEventId);
      if (mayRunAgain(request, progress)) continue;
      return {kind: 'cut', cause: 'connectionLost'};
    }
    const result = afterAttempt(request, progress, outcome);
    if (result.kind !== 'again') return result;
    const reply: ForwardReply<Target> = yield {kind: 'takeRepeat'};
    if (reply.kind === 'repeat' && reply.allowed) continue;
    return result.otherwise;
  }
}

/** A final answer, or another try with the answer if it is not allowed. */
type NextStep =
  ForwardResult | {readonly kind: 'again'; readonly otherwise: ForwardResult};

function afterAttempt<Target>(
  request: ForwardedRequest,
  progress: Progress<Target>,
  outcome: Exclude<AttemptOutcome, {kind: 'handedOn'}>,
): NextStep {
  switch (outcome.kind) {
    case 'streamed':
    case 'callerGone':
      return outcome;
    case 'timedOut':
      if (progress.streamBegun) return {kind: 'cut', cause: 'timedOut'};
      return {kind: 'timedOut', mayHaveRun: true};
    case 'answered':
      return afterAnswer(request, progress, outcome.success);
    case 'notRun':
      return afterNotRun(request, progress, outcome.cause);
    case 'unknown': {
      const {cause} = outcome;
      progress.runs += 1;
      progress.lastCause = cause;
      const otherwise = giveUp(progress, {kind: 'unknown', cause});
      return mayRunAgain(request, progress)
        ? {kind: 'again', otherwise}
        : otherwise;
    }
    case 'broken':
      return afterBreak(request, progress, outcome);
    default:
      return unreachable(outcome);
  }
}

function afterAnswer<Target>(
  request: ForwardedRequest,
  progress: Progress<Target>,
  success: boolean,
): NextStep {
  progress.runs += 1;
  progress.answerAtHand = true;
  // A stream that has begun keeps its headers: another status cannot follow.
  if (progress.streamBegun) return {kind: 'cut', cause: 'malformedAnswer'};
  if (success) return {kind: 'passOn'};
  return mayRunAgain(request, progress)
    ? {kind: 'again', otherwise: {kind: 'passOn'}}
    : {kind: 'passOn'};
}

function afterNotRun<Target>(
  request: ForwardedRequest,
  progress: Progress<Target>,
  cause: NotRunCause,
): NextStep {
  const otherwise = giveUp(progress, {
    kind: 'notRun',
    reason: cause,
    retryAfter: undefined,
  });
  return progress.sends < request.attempts + EXTRA_SENDS
    ? {kind: 'again', otherwise}
    : otherwise;
}

function afterBreak<Target>(
  request: ForwardedRequest,
  progress: Progress<Target>,
  outcome: Extract<AttemptOutcome, {kind: 'broken'}>,
): NextStep {
  noteStreamEnd(progress, outcome.lastEventId);
  progress.lastCause = outcome.cause;
  const otherwise: ForwardResult = {kind: 'cut', cause: outcome.cause};
  return progress.lastEventId !== undefined && mayRunAgain(request, progress)
    ? {kind: 'again', otherwise}
    : otherwise;
}

/** Notes that a run has ended after events that reached the caller. */
function noteStreamEnd<Target>(
  progress: Progress<Target>,
  lastEventId: string | undefined,
): void {
  progress.runs += 1;
  progress.streamBegun = true;
  progress.lastEventId = lastEventId ?? progress.lastEventId;
}

/** Whether a request that may have run may be sent once more. */
function mayRunAgain<Target>(
  request: ForwardedRequest,
  progress: Progress<Target>,
): boolean {
  if (progress.runs >= request.attempts) return false;
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

function withoutPlace<Target>(
  progress: Progress<Target>,
  place: Exclude<PlaceReply<Target>, {kind: 'place'}>,
): ForwardResult {
  switch (place.kind) {
    case 'callerGone':
      return {kind: 'callerGone'};
    case 'timedOut':
      if (progress.streamBegun) return {kind: 'cut', cause: 'timedOut'};
      return {kind: 'timedOut', mayHaveRun: progress.runs > 0};
    case 'noPlace':
      return giveUp(progress, {
        kind: 'notRun',
        reason: place.reason,
        retryAfter: place.retryAfter,
      });
    default:
      return unreachable(place);
  }
}

/** The answer when nothing more is tried; "not run" only if nothing ran. */
function giveUp<Target>(
  progress: Progress<Target>,
  ifNothingRan: ForwardResult,
): ForwardResult {
  const {lastCause: cause} = progress;
  if (progress.streamBegun) return {kind: 'cut', cause};
  if (progress.answerAtHand) return {kind: 'passOn'};
  if (progress.runs > 0 && ifNothingRan.kind === 'notRun') {
    return {kind: 'unknown', cause};
  }
  return ifNothingRan;
}

function placeOf<Target>(reply: ForwardReply<Target>): PlaceReply<Target> {
  if (reply.kind !== 'placed') throw new Error('expected a choice of place');
  return reply.place;
}

function outcomeOf<Target>(reply: ForwardReply<Target>): AttemptOutcome {
  if (reply.kind !== 'sent') throw new Error('expected an attempt outcome');
  return reply.outcome;
}
