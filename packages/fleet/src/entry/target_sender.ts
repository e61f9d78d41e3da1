import {
  createEventPauses,
  isRepeatable,
  type EventPauses,
  type ForwardAttemptEnd,
  type ListedTarget,
  type Milliseconds,
  type MonotonicInstant,
  type PlacementRequest,
} from '@hibiscusbeam/core';
import {sleep} from '@hibiscusbeam/daemon';
import {enginePriority} from './entry_admission';
import {runAttempt, type AttemptOptions, type WholeAnswer} from './attempt';
import {withContentLength} from './request_body';
import type {
  PlannedAttempt,
  RequestRunContext,
  RequestRunOptions,
} from './request_context';
import type {AttemptTrace} from './request_trace';
import type {AttemptsInFlight, AttemptInFlight} from './attempts_in_flight';
import {createAttemptRecorder, type AttemptRecorder} from './attempt_recorder';
import {createRemainingEvents} from './remaining_events';
import {maxSilence} from './timeliness';

/** How long the end of an answer may wait for its confirmation. */
const CONFIRM_TIMEOUT: Milliseconds = 200;

/** What the attempts of one request need from its run. */
export interface TargetSenderHooks {
  readonly attempts: AttemptsInFlight;
  readonly placementRequestFor: (
    tried: readonly ListedTarget[],
  ) => PlacementRequest;
  /** Whether the choice of the target is still valid. */
  readonly mayBegin: (planned: PlannedAttempt) => boolean;
  /** Whether a slot for another attempt is being looked for. */
  readonly isChoosing: () => boolean;
  /** Receives a complete answer that may be forwarded. */
  readonly keepAnswer: (answer: WholeAnswer) => void;
  /** Called when an attempt has ended that may have run. */
  readonly onRun: () => void;
}

/** An attempt in flight, and what it has taken. */
interface StartedAttempt {
  readonly planned: PlannedAttempt;
  readonly send: AttemptInFlight;
  readonly sentAt: MonotonicInstant;
  /** Forecast time until its first event; undefined for plain targets. */
  readonly forecast: Milliseconds | undefined;
  readonly line: AttemptTrace;
  readonly recorder: AttemptRecorder;
  /** Aborted once nothing listens at the target's address any more. */
  readonly foundClosed: AbortController;
  /** Aborted at the bound of the target's version, unless it has begun. */
  readonly withdrawn: AbortController;
  /** Called once it has begun. */
  readonly stopWithdrawal: () => void;
  /** Pauses between the events of this target. */
  readonly pauses: EventPauses;
  /** Releases what the attempt has taken. */
  readonly leave: () => void;
  /** The complete answer, once received. */
  answer: WholeAnswer | undefined;
}

/**
 * Creates the function that sends one request to targets; results are reported
 * to `attempts`.
 */
export function createTargetSender(
  options: RequestRunOptions,
  context: RequestRunContext,
  hooks: TargetSenderHooks,
): (planned: PlannedAttempt) => void {
  const {request, response, accepted, progress, buffers} = context;
  const {header, route, service, access, run} = accepted;
  const {attempts} = hooks;
  const remaining = createRemainingEvents(options, context);
  let startedAttempts = 0;
  let attemptsNotRun = 0;
  /** Whether a retry was taken for a move that no attempt has used yet. */
  let hasPaidMove = false;

  function headerLines({place, version}: PlannedAttempt): readonly string[] {
    const timeLeft = accepted.deadline - options.clock();
    const lines = options.protocol.writeTarget(request.rawHeaders, {
      target: place.target,
      workspace:
        access.kind === 'workspace' ? access.workspace.name : undefined,
      patience: Math.max(1, Math.floor(timeLeft)),
      priority: options.admission.isByLevel
        ? enginePriority(accepted)
        : undefined,
      version,
      resumeAfter: progress.lastEventId,
    });
    return withContentLength(lines, request.method, accepted.body);
  }

  async function carryOut(planned: PlannedAttempt): Promise<void> {
    const begun = begin(planned);
    const outcome = await runAttempt(attemptOptions(begun));
    if (!begun.send.signal.aborted) finish(begun, endOf(outcome, begun));
  }

  function begin(planned: PlannedAttempt): StartedAttempt {
    const {place} = planned;
    startedAttempts += 1;
    hasPaidMove = false;
    const send = attempts.begin();
    const line = context.trace.send(place.target);
    const foundClosed = new AbortController();
    const sentAt = options.clock();
    const recorder = createAttemptRecorder(options, {
      accepted,
      place,
      sentAt,
      foundClosed,
    });
    const pauses = createEventPauses();
    const stopOffering = offerToMove(planned, send, pauses);
    const withdrawn = new AbortController();
    const stopWithdrawal = trackUntilBegun(planned, withdrawn);
    const leave = (): void => {
      stopOffering();
      stopWithdrawal();
      place.inFlight.end();
      options.places.pump();
    };
    const leaveUnanswered = (): void => {
      line.end('aborted', undefined);
      leave();
    };
    send.signal.addEventListener('abort', leaveUnanswered, {once: true});
    return {
      planned,
      send,
      line,
      foundClosed,
      withdrawn,
      stopWithdrawal,
      recorder,
      sentAt,
      forecast: forecastOf(planned),
      pauses,
      leave: () => {
        send.signal.removeEventListener('abort', leaveUnanswered);
        leave();
      },
      answer: undefined,
    };
  }

  /** Returns a function that ends the tracking. */
  function trackUntilBegun(
    {place: {target}}: PlannedAttempt,
    withdrawn: AbortController,
  ): () => void {
    const {model} = header;
    const showsBeginning = route.kind === 'stream';
    if (model === undefined || !showsBeginning) return () => undefined;
    const heldVersion = (): number | undefined =>
      options.registry.heldVersion(target, model, options.clock());
    const versionAtSend = heldVersion();
    if (versionAtSend === undefined) return () => undefined;
    return options.unbegun.track({
      model,
      isFar: target.zone !== options.zone,
      // An engine that loads holds none.
      heldVersion: () => heldVersion() ?? versionAtSend,
      withdraw: () => withdrawn.abort(),
    });
  }

  /** The target's unread prompts already include the request's own. */
  function forecastOf({
    place,
    tried,
  }: PlannedAttempt): Milliseconds | undefined {
    const need = {...hooks.placementRequestFor(tried), promptTime: 0};
    return options.registry.forecast(place.target, need);
  }

  function attemptOptions(begun: StartedAttempt): AttemptOptions {
    const {planned, send, line, recorder, sentAt, pauses} = begun;
    const {foundClosed, withdrawn, stopWithdrawal} = begun;
    const {target, inFlight} = planned.place;
    return {
      route,
      requestId: header.requestId,
      target,
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      lines: headerLines(planned),
      body: accepted.body,
      protocol: options.protocol,
      response,
      buffers,
      progress,
      now: options.clock,
      ownLines: options.ownLines,
      maxSilence: maxSilence(route),
      onSilence: detectionDelay => recordSilence(begun, detectionDelay),
      onResumed: () => send.report({kind: 'goesOn'}),
      mayBegin: () => hooks.mayBegin(planned),
      onStream: send.setStream,
      onForward: send.win,
      signal: AbortSignal.any([
        context.signal,
        planned.place.incarnationEnded,
        foundClosed.signal,
        withdrawn.signal,
        send.signal,
      ]),
      onHeader: header => {
        const stated = options.headerRecorder.record({target, header, sentAt});
        stated.forEach(line.explain);
      },
      onFirstEvent: () => {
        recordTime(begun);
        recordFirstEvent(begun);
      },
      onEvent: () => {
        inFlight.begun();
        stopWithdrawal();
        recorder.recordEvent();
        pauses.record(options.clock());
      },
      onAnswer: () => releaseBody(send),
      confirmEnd: () => confirmEnd(target),
      keepAnswer: kept => (begun.answer = kept),
      explain: line.explain,
      onError: error => {
        line.explain(`answer not handled: ${String(error)}`);
        options.log.error('answer of a target not handled', {
          request: header.requestId,
          instance: target.instance,
          error,
        });
      },
    };
  }

  /** Releases the body if the request can't be sent again. */
  function releaseBody({isAlone}: AttemptInFlight): void {
    const possibleRuns = startedAttempts - attemptsNotRun;
    const isLast = isAlone() && possibleRuns >= route.attempts;
    if (isLast || !isRepeatable(route)) accepted.body.release();
  }

  /**
   * A target that no longer listens has crashed or, if it is leaving, exited:
   * either ends its answers before they are complete. An address that doesn't
   * respond shows nothing, nor does one that responds after a stall of this
   * process: the target may have restarted meanwhile.
   */
  async function confirmEnd(target: ListedTarget): Promise<boolean> {
    const state = await Promise.race([
      options.crashMonitor.probe(target),
      sleep(CONFIRM_TIMEOUT),
    ]);
    if (options.stalls.hasStalled()) return false;
    return state !== 'closed';
  }

  function finish(begun: StartedAttempt, end: ForwardAttemptEnd): void {
    const {send, line, recorder, answer, leave} = begun;
    leave();
    if (end.kind === 'answered' && end.success) recordTime(begun);
    if (answer !== undefined) hooks.keepAnswer(answer);
    recorder.recordEnd(end);
    remaining.record(end);
    if (end.kind === 'notRun') attemptsNotRun += 1;
    else {
      hooks.onRun();
      options.admission.recordHeld(accepted, options.clock() - begun.sentAt);
    }
    line.end(end.kind, 'cause' in end ? end.cause : undefined);
    send.end(end);
  }

  function recordTime({sentAt}: StartedAttempt): void {
    const took = options.clock() - sentAt;
    options.answerTimes.record(service, took, run.promptTime);
  }

  function recordFirstEvent({planned, sentAt, forecast}: StartedAttempt): void {
    if (forecast === undefined || forecast <= 0) return;
    const now = options.clock();
    const took = now - sentAt;
    options.registry.recordFirstEvent(
      planned.place.target,
      took / forecast,
      now,
    );
    options.metrics.observeForecastError(service, took - forecast);
  }

  /** The attempt ends for the same reason as the request, if that has ended. */
  function endOf(
    outcome: ForwardAttemptEnd,
    {withdrawn}: StartedAttempt,
  ): ForwardAttemptEnd {
    const by = context.endedBy();
    if (by !== undefined && outcome.kind !== 'streamed') return {kind: by};
    const isUnknown = outcome.kind === 'unknown';
    if (!isUnknown || !withdrawn.signal.aborted) return outcome;
    return {kind: 'unknown', cause: 'withdrawn'};
  }

  function recordSilence(
    begun: StartedAttempt,
    detectionDelay: Milliseconds,
  ): void {
    options.metrics.countSilence(route.name);
    begun.line.explain(
      `silent; detected ${Math.round(detectionDelay)} ms late`,
    );
    begun.recorder.recordSilence();
    const {begun: streamBegun} = progress;
    const lastEventId = streamBegun ? progress.lastEventId : undefined;
    begun.send.report({kind: 'silent', streamBegun, lastEventId});
    probeTarget(begun).catch(fail);
  }

  /**
   * A silent target has ended if nothing listens at its address, unless it is
   * leaving: then it may still finish what it runs.
   */
  async function probeTarget({
    planned,
    send,
    foundClosed,
  }: StartedAttempt): Promise<void> {
    const {target} = planned.place;
    const state = await options.crashMonitor.probe(target);
    if (state !== 'closed' || !send.isSilent()) return;
    if (options.registry.isStaying(target)) foundClosed.abort();
  }

  /**
   * Registers a resumable stream, so that it can be moved to another target.
   */
  function offerToMove(
    {place: {target}, tried}: PlannedAttempt,
    send: AttemptInFlight,
    pauses: EventPauses,
  ): () => void {
    const maxAttempts = tried.length + 1;
    const isModel = header.model !== undefined;
    if (!isModel || !route.resumable || maxAttempts >= route.attempts) {
      return () => undefined;
    }
    return options.handover.offer(target, {
      need: () => hooks.placementRequestFor([...tried, target]),
      begunAt: () => progress.begunAt,
      rest: () => remaining.forecast(pauses),
      mayMove: () =>
        progress.lastEventId !== undefined &&
        startedAttempts < route.attempts &&
        !hooks.isChoosing() &&
        send.isAlone() &&
        !send.isSilent(),
      takeMove: () => {
        hasPaidMove ||= options.budgets.takeMove(service);
        return hasPaidMove;
      },
      handOver: () => {
        const {lastEventId} = progress;
        if (lastEventId !== undefined) {
          send.report({kind: 'handedOn', lastEventId});
        }
      },
    });
  }

  /**
   * Reports an internal failure. The request may have ended before, so it is
   * also logged.
   */
  function fail(error: unknown): void {
    options.log.error('attempt failed in this process', {error});
    attempts.fail(error);
  }

  return planned => {
    carryOut(planned).catch(fail);
  };
}
