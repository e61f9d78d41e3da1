import {
  createEventPauses,
  passTimeOf,
  type EventPauses,
  type ForwardAttemptEnd,
  type ListedTarget,
  type Milliseconds,
  type MonotonicInstant,
  type PlacementRequest,
  type RemainingStream,
} from '@hibiscusbeam/core';
import {toldPriority} from './entry_admission';
import {attempt, type AttemptOptions, type WholeAnswer} from './attempt';
import {withLength} from './request_body';
import type {
  PlannedSend,
  RequestRunContext,
  RequestRunOptions,
} from './request_context';
import type {SendLine} from './request_story';
import type {SendsUnderWay, SendUnderWay} from './sends_under_way';
import {createTargetNotes, type TargetNotes} from './target_notes';
import {longestSilence} from './timeliness';

/** What the sends of one request need from its run. */
export interface TargetSenderHooks {
  readonly sends: SendsUnderWay;
  readonly needOf: (tried: readonly ListedTarget[]) => PlacementRequest;
  /** Whether what led to the choice of the target still holds. */
  readonly mayBegin: (planned: PlannedSend) => boolean;
  /** Whether a place for another send is looked for. */
  readonly isChoosing: () => boolean;
  /** Takes a whole answer that may be passed on. */
  readonly keepAnswer: (answer: WholeAnswer) => void;
  /** Is told that a send has ended and may have run. */
  readonly onRun: () => void;
}

/** A send under way, and what it has taken. */
interface BegunSend {
  readonly planned: PlannedSend;
  readonly send: SendUnderWay;
  readonly sentAt: MonotonicInstant;
  /** Time until its first event; undefined for plain targets. */
  readonly forecast: Milliseconds | undefined;
  readonly line: SendLine;
  readonly notes: TargetNotes;
  /** Aborted once nothing listens at the target's address any more. */
  readonly foundClosed: AbortController;
  /** Pauses between the events of this target. */
  readonly pauses: EventPauses;
  /** Gives back what the send has taken. */
  readonly leave: () => void;
  /** The whole answer, once it is there. */
  answer: WholeAnswer | undefined;
}

/** Creates what sends one request to targets; reports go to `sends`. */
export function createTargetSender(
  options: RequestRunOptions,
  context: RequestRunContext,
  hooks: TargetSenderHooks,
): (planned: PlannedSend) => void {
  const {request, response, accepted, progress, buffers} = context;
  const {header, route, service, access, run} = accepted;
  const {sends} = hooks;
  let begunSends = 0;
  /** Whether a move was paid for that no send has used. */
  let hasPaidMove = false;

  function headerLines({place, version}: PlannedSend): readonly string[] {
    const patience = accepted.deadline - options.clock();
    const lines = options.protocol.writeTarget(request.rawHeaders, {
      target: place.target,
      workspace:
        access.kind === 'workspace' ? access.workspace.name : undefined,
      patience: Math.max(1, Math.floor(patience)),
      priority: options.admission.isByLevel
        ? toldPriority(accepted)
        : undefined,
      version,
      resumeAfter: progress.lastEventId,
    });
    return withLength(lines, request.method, accepted.body);
  }

  async function carryOut(planned: PlannedSend): Promise<void> {
    const begun = begin(planned);
    const outcome = await attempt(attemptOptions(begun));
    if (!begun.send.signal.aborted) finish(begun, endOf(outcome));
  }

  function begin(planned: PlannedSend): BegunSend {
    const {place} = planned;
    begunSends += 1;
    hasPaidMove = false;
    const send = sends.begin();
    const line = context.story.send(place.target);
    const foundClosed = new AbortController();
    const notes = createTargetNotes(options, {accepted, place, foundClosed});
    const pauses = createEventPauses();
    const stopOffering = offerToMove(planned, send, pauses);
    const leave = (): void => {
      stopOffering();
      place.inHand.end();
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
      notes,
      sentAt: options.clock(),
      forecast: forecastOf(planned),
      pauses,
      leave: () => {
        send.signal.removeEventListener('abort', leaveUnanswered);
        leave();
      },
      answer: undefined,
    };
  }

  /** Its own prompt is among those that the target has not read. */
  function forecastOf({place, tried}: PlannedSend): Milliseconds | undefined {
    const need = {...hooks.needOf(tried), promptTime: 0};
    return options.book.forecast(place.target, need);
  }

  function attemptOptions(begun: BegunSend): AttemptOptions {
    const {planned, send, line, foundClosed, sentAt, pauses} = begun;
    const {target, inHand} = planned.place;
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
      longestSilence: longestSilence(route),
      onSilence: noticedLateBy => noteSilence(begun, noticedLateBy),
      onGoesOn: () => send.report({kind: 'goesOn'}),
      mayBegin: () => hooks.mayBegin(planned),
      onStream: send.setStream,
      onPassOn: send.win,
      signal: AbortSignal.any([
        context.signal,
        planned.place.lifeEnded,
        foundClosed.signal,
        send.signal,
      ]),
      onHeader: header => {
        const stated = options.statements.note({target, header, sentAt});
        stated.forEach(line.explain);
      },
      onFirstEvent: () => {
        recordTime(begun);
        noteFirstEvent(begun);
      },
      onEvent: () => {
        inHand.begun();
        pauses.record(options.clock());
      },
      keepAnswer: kept => (begun.answer = kept),
      explain: line.explain,
    };
  }

  function finish(begun: BegunSend, end: ForwardAttemptEnd): void {
    const {send, line, notes, answer, leave} = begun;
    leave();
    if (end.kind === 'answered' && end.success) recordTime(begun);
    if (answer !== undefined) hooks.keepAnswer(answer);
    notes.noteEnd(end);
    noteLength(end);
    if (end.kind !== 'notRun') {
      hooks.onRun();
      options.admission.noteHeld(accepted, options.clock() - begun.sentAt);
    }
    line.end(end.kind, 'cause' in end ? end.cause : undefined);
    send.end(end);
  }

  function recordTime({sentAt}: BegunSend): void {
    const took = options.clock() - sentAt;
    options.answerTimes.record(service, took, run.promptTime);
  }

  function noteFirstEvent({planned, sentAt, forecast}: BegunSend): void {
    if (forecast === undefined || forecast <= 0) return;
    const now = options.clock();
    const took = now - sentAt;
    options.book.recordFirstEvent(planned.place.target, took / forecast, now);
    options.metrics.observeForecastError(service, took - forecast);
  }

  /** What ended the request has ended the send, too. */
  function endOf(outcome: ForwardAttemptEnd): ForwardAttemptEnd {
    const by = context.endedBy();
    if (by === undefined || outcome.kind === 'streamed') return outcome;
    return {kind: by};
  }

  function noteSilence(begun: BegunSend, noticedLateBy: Milliseconds): void {
    options.metrics.countSilence(route.name);
    begun.line.explain(`silent; noticed ${Math.round(noticedLateBy)} ms late`);
    begun.notes.noteSilence();
    const {begun: streamBegun} = progress;
    const lastEventId = streamBegun ? progress.lastEventId : undefined;
    begun.send.report({kind: 'silent', streamBegun, lastEventId});
    lookAtTarget(begun).catch(fail);
  }

  /**
   * A silent target at whose address nothing listens has ended, unless it leaves:
   * then it may finish what it runs.
   */
  async function lookAtTarget({
    planned,
    send,
    foundClosed,
  }: BegunSend): Promise<void> {
    const {target} = planned.place;
    const state = await options.crashWatch.look(target);
    if (state !== 'closed' || !send.isSilent()) return;
    if (options.book.isStaying(target)) foundClosed.abort();
  }

  /** Lets the stream go on elsewhere once its target is to load weights. */
  function offerToMove(
    {place: {target}, tried}: PlannedSend,
    send: SendUnderWay,
    pauses: EventPauses,
  ): () => void {
    const mostSends = tried.length + 1;
    const isModel = header.model !== undefined;
    if (!isModel || !route.resumable || mostSends >= route.attempts) {
      return () => undefined;
    }
    return options.handover.offer(target, {
      need: () => hooks.needOf([...tried, target]),
      begunAt: () => progress.begunAt,
      rest: () => restOf(pauses),
      mayMove: () =>
        progress.lastEventId !== undefined &&
        begunSends < route.attempts &&
        !hooks.isChoosing() &&
        send.isAlone() &&
        !send.isSilent(),
      takeMove: () => {
        hasPaidMove ||= options.budgets.takeMove(service);
        return hasPaidMove;
      },
      handOn: () => {
        const {lastEventId} = progress;
        if (lastEventId !== undefined) {
          send.report({kind: 'handedOn', lastEventId});
        }
      },
    });
  }

  function restOf(pauses: EventPauses): RemainingStream | undefined {
    const pause = pauses.median();
    const passed = passedEvents();
    const {profile, answerTokens, tokens} = run;
    if (pause === undefined || profile === undefined) return undefined;
    if (passed === undefined) return undefined;
    const {lengths} = options.handover;
    const events = lengths.remaining(route.name, passed, answerTokens);
    if (events === undefined) return undefined;
    return {
      events,
      pause,
      typicalPause: passTimeOf(profile, profile.slots, tokens),
      timeLeft: accepted.deadline - options.clock(),
    };
  }

  /** Ids of streams that can go on count their events. */
  function passedEvents(): number | undefined {
    const passed = Number(progress.lastEventId);
    return Number.isInteger(passed) ? passed : undefined;
  }

  function noteLength(end: ForwardAttemptEnd): void {
    const events = passedEvents();
    if (end.kind !== 'streamed' || events === undefined) return;
    options.handover.lengths.record(route.name, events, run.answerTokens);
  }

  /** The request may have ended before the failure of its send is known. */
  function fail(error: unknown): void {
    options.log.error('send failed in this process', {error});
    sends.fail(error);
  }

  return planned => {
    carryOut(planned).catch(fail);
  };
}
