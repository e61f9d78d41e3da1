import {unreachable} from '../../kernel/flow';
import type {
  MonotonicInstant,
  NotRunEvidence,
  NotRunReason,
  TargetName,
} from '../../types';
import type {OwnAttempt} from '../evidence';
import type {
  AttemptAddress,
  AttemptEvent,
  AwaitEventEffect,
  RefusedEvent,
  RequestFlow,
  RequestResult,
  TargetChoice,
  CompleteAnswer,
} from '../types';
import {
  createAnswerAssembler,
  type AnswerAssembler,
  type FrameResult,
} from './answer_assembler';
import {answered, outcomeUnknown} from './call_results';
import {
  createCallerStream,
  type CallerFrame,
  type CallerStream,
} from './caller_stream';
import {createOwnAttempts} from './own_attempts';
import type {RepeatableOptions} from './repeatable_options';
import {chooseTarget, nextEvent} from './steps';

/** How one attempt ended. */
type AttemptEnd =
  | {readonly kind: 'answered'; readonly answer: CompleteAnswer}
  | {
      readonly kind: 'refused';
      readonly evidence: NotRunEvidence;
      readonly reason: NotRunReason;
      readonly retryAfter: number;
    }
  | {readonly kind: 'failed'; readonly detail: string}
  | {readonly kind: 'callerGone'};

/** The result of one event: frames for the caller, and the attempt's end. */
interface EventOutcome {
  readonly frames: readonly CallerFrame[];
  readonly end: AttemptEnd | undefined;
}

const CONTINUE: EventOutcome = {frames: [], end: undefined};

function endWith(end: AttemptEnd): EventOutcome {
  return {frames: [], end};
}

type ChosenTarget = Extract<TargetChoice, {kind: 'target'}>;

function failed(detail: string): AttemptEnd {
  return {kind: 'failed', detail};
}

/**
 * Serves a repeatable call. Frames are sent to the caller as they arrive
 * (`emit`). An answer that has started is completed with identical frames of
 * the same version, or ends without its end frame. Ends at the deadline.
 */
export function* createRepeatableFlow(
  options: RepeatableOptions,
): RequestFlow<RequestResult> {
  const {limits, now, deadline} = options;
  const attempts = createOwnAttempts(options.createAttempt);
  const stream = createCallerStream();
  const excluded: TargetName[] = [];
  let reason: NotRunReason = 'deadlineTooShort';
  let retryAfter = limits.retryAfter;

  for (let attempted = 0; attempted < limits.maxAttempts; attempted += 1) {
    if (now() >= deadline) break;
    // Simultaneous retries of all callers would keep an overloaded site down.
    if (attempted > 0 && !options.spendRetry()) {
      return attempts.endNotRun('retryBudgetSpent', retryAfter);
    }
    const choice = yield* chooseTarget({
      kind: 'chooseTarget',
      exclude: excluded,
      versionDigest: stream.startedVersion(),
      until: deadline,
    });
    if (choice.kind === 'none') {
      return attempts.endNotRun(choice.reason, choice.retryAfter);
    }
    excluded.push(choice.target);
    const attemptEnd = yield* runAttempt(
      options,
      attempts.next(),
      choice,
      stream,
    );
    switch (attemptEnd.kind) {
      case 'answered':
        return {...answered(attemptEnd.answer), answer: undefined};
      case 'callerGone':
        return outcomeUnknown('the caller has gone');
      case 'refused':
        attempts.recordNotRun(attemptEnd.evidence);
        ({reason, retryAfter} = attemptEnd);
        break;
      case 'failed':
        // It may have run. Without this record, a later refusal by another
        // target would be reported as "not run".
        attempts.recordMayHaveRun(attemptEnd.detail);
        break;
      default:
        return unreachable(attemptEnd);
    }
  }
  return attempts.endNotRun(reason, retryAfter);
}

function* runAttempt(
  options: RepeatableOptions,
  own: OwnAttempt,
  {target, instance, incarnation}: ChosenTarget,
  stream: CallerStream,
): RequestFlow<AttemptEnd> {
  const {deadline, createDigester, now} = options;
  const {answerBytes} = options.limits;
  const {attempt} = own;
  const assembler = createAnswerAssembler(attempt, {
    incarnation,
    createDigester,
    answerBytes,
  });
  const destination = {target, instance, incarnation};
  const until = silenceDeadline(options);
  const effect = own.dispatch(destination, {
    until,
    deadline,
    versionDigest: stream.startedVersion(),
  });
  let event = yield* nextEvent(effect);
  for (;;) {
    const eventOutcome = evaluateEvent(own, assembler, stream, event);
    for (const frame of eventOutcome.frames) {
      const reply = yield {kind: 'emit', frame};
      if (reply.kind !== 'callerGone') continue;
      yield {kind: 'cancel', address: effect.address};
      return {kind: 'callerGone'};
    }
    if (eventOutcome.end !== undefined) {
      yield* cancelUnlessEnded(eventOutcome.end, effect.address);
      return eventOutcome.end;
    }
    // Frames of other attempts must not extend the call past its deadline.
    if (now() >= deadline) {
      yield {kind: 'cancel', address: effect.address};
      return failed('no end by the deadline');
    }
    const next: AwaitEventEffect = {
      kind: 'awaitEvent',
      attempt,
      until: silenceDeadline(options),
    };
    event = yield* nextEvent(next);
  }
}

/** Cancels an attempt whose answer is no longer needed. */
function* cancelUnlessEnded(
  attemptEnd: AttemptEnd,
  address: AttemptAddress,
): RequestFlow<void> {
  if (attemptEnd.kind === 'answered' || attemptEnd.kind === 'refused') return;
  yield {kind: 'cancel', address};
}

function silenceDeadline(options: RepeatableOptions): MonotonicInstant {
  return Math.min(options.deadline, options.now() + options.limits.silence);
}

function evaluateEvent(
  own: OwnAttempt,
  assembler: AnswerAssembler,
  stream: CallerStream,
  event: AttemptEvent,
): EventOutcome {
  switch (event.kind) {
    case 'started':
    case 'data':
    case 'end':
      return forwardFrame(stream, assembler.accept(event));
    case 'refused':
      if (event.attempt !== own.attempt) return CONTINUE;
      return endWith(refusedBy(own, event));
    case 'failed':
      if (event.attempt !== own.attempt) return CONTINUE;
      return endWith(failed(event.detail));
    case 'cut':
      return endWith(failed(event.detail));
    case 'timedOut':
      return endWith(failed('silent for too long'));
    case 'callerGone':
      return endWith({kind: 'callerGone'});
    default:
      return unreachable(event);
  }
}

function refusedBy(own: OwnAttempt, event: RefusedEvent): AttemptEnd {
  const evidence = own.refused(event);
  if (evidence === undefined) return failed('refused by another life');
  const {reason, retryAfter} = event;
  return {kind: 'refused', evidence, reason, retryAfter};
}

/** Forwards to the caller what the assembler accepted. */
function forwardFrame(stream: CallerStream, result: FrameResult): EventOutcome {
  if (result.kind === 'dropped') return CONTINUE;
  if (result.kind === 'broken') return endWith(failed(result.detail));
  const frames = stream.take(result);
  if (frames === 'differs') return endWith(failed('another answer was begun'));
  if (result.kind !== 'complete') return {frames, end: undefined};
  return {frames, end: {kind: 'answered', answer: result.answer}};
}
