import {
  FAR_DELAY,
  type AnswerTimes,
  type ForwardAttemptOutcome,
  type ForwardEffect,
  type ForwardReply,
  type ListedTarget,
  type Milliseconds,
  type NamedVersions,
  type PlaceNeed,
  type Quarantine,
  type TargetBook,
} from '@hibiscusbeam/core';
import type {Clock} from '@hibiscusbeam/daemon';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {RequestProtocol} from '../ports';
import {attempt, type WholeAnswer} from './attempt';
import type {CrashWatch} from './crash_watch';
import type {FleetMetrics} from './fleet_metrics';
import type {OperatorFollower} from './operator_follower';
import type {PlaceOutcome, PlaceQueue} from './place_queue';
import type {QuarantineTrials} from './quarantine_trials';
import type {RepeatBudgets} from './repeat_budgets';
import {
  isKeyConfirmed,
  type AcceptedRequest,
  type KeyConfirmation,
} from './request_acceptance';
import {withLength} from './request_body';
import type {RequestStory} from './request_story';
import type {StreamProgress} from './stream_relay';
import type {StreamHandover} from './stream_handover';
import type {TargetStatements} from './target_statements';
import {longestSilence, spreadReturn, type Timeliness} from './timeliness';

const NO_PLACE_REASONS = {
  full: 'allFull',
  none: 'noTarget',
  leaving: 'targetsLeaving',
  backingOff: 'targetsBackingOff',
  outdated: 'outdatedTargets',
} as const;

/** What carrying out a request's flow needs. */
export interface RequestRunOptions extends KeyConfirmation {
  readonly protocol: RequestProtocol;
  readonly operator: OperatorFollower;
  readonly book: TargetBook;
  readonly places: PlaceQueue;
  readonly budgets: RepeatBudgets;
  readonly handover: StreamHandover;
  readonly versions: NamedVersions;
  readonly timeliness: Timeliness;
  readonly answerTimes: AnswerTimes;
  readonly quarantine: Quarantine;
  readonly trials: QuarantineTrials;
  readonly crashWatch: CrashWatch;
  readonly statements: TargetStatements;
  readonly metrics: FleetMetrics;
  readonly clock: Clock;
  /** Header lines of our own for the caller. */
  readonly ownLines: () => readonly string[];
}

/** One request and what is known of it while it runs. */
export interface RequestRunContext {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly accepted: AcceptedRequest;
  readonly story: RequestStory;
  readonly progress: StreamProgress;
  /** Aborts at the deadline and when the caller has gone. */
  readonly signal: AbortSignal;
  /** Why it was aborted; undefined while it was not. */
  readonly endedBy: () => 'callerGone' | 'timedOut' | undefined;
}

/** Carries out the effects of one request's flow. */
export interface RequestRun {
  readonly perform: (
    effect: ForwardEffect<ListedTarget>,
  ) => ForwardReply<ListedTarget> | Promise<ForwardReply<ListedTarget>>;
  /** The last whole answer of a target. */
  readonly answer: () => WholeAnswer | undefined;
  /** Gives back what the request has taken and not used. */
  readonly end: () => void;
}

/** Whether the connection to a target ended before its answer did. */
function isConnectionLost(outcome: ForwardAttemptOutcome): boolean {
  return 'cause' in outcome && outcome.cause === 'connectionLost';
}

/** Creates what carries out the flow of one request. */
export function createRequestRun(
  options: RequestRunOptions,
  context: RequestRunContext,
): RequestRun {
  const {request, response, accepted} = context;
  const {story, progress, signal, endedBy} = context;
  const {header, route, service, access, run, fingerprint} = accepted;
  const isModel = header.model !== undefined;
  let answer: WholeAnswer | undefined;
  let place: Extract<PlaceOutcome, {kind: 'place'}> | undefined;
  let sentTo: readonly ListedTarget[] = [];
  let trial: 'none' | 'held' | 'used' = 'none';

  function needOf(tried: readonly ListedTarget[]): PlaceNeed {
    return {
      service,
      model: header.model,
      leastVersion: leastVersion(0),
      leastFarVersion: leastVersion(FAR_DELAY),
      expectedRun: run.writingTime,
      tried: new Set(tried.map(target => target.instance)),
      now: options.clock(),
    };
  }

  function isQuarantined(): boolean {
    return options.quarantine.isQuarantined(fingerprint);
  }

  async function takeTrial(): Promise<boolean> {
    if (trial === 'none' && (await options.trials.claim(fingerprint))) {
      trial = 'held';
    }
    return trial === 'held';
  }

  async function choosePlace(
    tried: readonly ListedTarget[],
  ): Promise<ForwardReply<ListedTarget>> {
    if (isQuarantined() && !(await takeTrial())) {
      const retryAfter = options.trials.retryAfter(fingerprint);
      const reason = 'quarantined';
      return {kind: 'placed', place: {kind: 'noPlace', reason, retryAfter}};
    }
    sentTo = [...tried];
    const {onTimeUntil, waitUntil} = progress.begun
      ? options.timeliness.resumeLimits(accepted, options.clock())
      : options.timeliness.limits(accepted);
    const outcome = await options.places.take({
      need: () => needOf(tried),
      promptTime: run.promptTime,
      isResumed: progress.begun,
      priority: priority(),
      onTimeUntil,
      waitUntil,
      signal,
    });
    const by = endedBy();
    switch (outcome.kind) {
      case 'place':
        place = outcome;
        return {
          kind: 'placed',
          place: {kind: 'place', target: outcome.target},
        };
      case 'abandoned':
        return {kind: 'placed', place: {kind: by ?? 'callerGone'}};
      case 'full':
      case 'none':
      case 'leaving':
      case 'backingOff':
      case 'outdated': {
        const reason = NO_PLACE_REASONS[outcome.kind];
        const least =
          outcome.kind === 'backingOff' ? outcome.until - options.clock() : 0;
        const retryAfter = spreadReturn(header.requestId, route, least);
        return {kind: 'placed', place: {kind: 'noPlace', reason, retryAfter}};
      }
    }
  }

  function leastVersion(delay: Milliseconds): number | undefined {
    if (header.model === undefined) return undefined;
    return options.versions.least(header.model, options.machineClock(), delay);
  }

  /**
   * The version that the target must have, once older ones may not start
   * anything: the one it is known to hold. Naming the oldest one allowed
   * would turn away a target that already holds a newer one.
   */
  function versionFor(target: ListedTarget): number | undefined {
    if (header.model === undefined || leastVersion(FAR_DELAY) === undefined) {
      return undefined;
    }
    return options.book.heldVersion(target, header.model, options.clock());
  }

  function priority(): number {
    const ofWorkspace =
      access.kind === 'workspace' ? access.workspace.priority : undefined;
    return ofWorkspace ?? route.priority;
  }

  async function send(
    target: ListedTarget,
    resumeAfter: string | undefined,
  ): Promise<ForwardReply<ListedTarget>> {
    const patience = accepted.deadline - options.clock();
    const lines = options.protocol.writeTarget(request.rawHeaders, {
      target,
      workspace:
        access.kind === 'workspace' ? access.workspace.name : undefined,
      patience: Math.max(1, Math.floor(patience)),
      priority: undefined,
      version: versionFor(target),
      resumeAfter: resumeAfter ?? header.resumeAfter,
    });
    story.send(target);
    const sentAt = options.clock();
    const handOn = new AbortController();
    const stopOffering = offerToMove(target, handOn);
    const recordTime = (): void =>
      options.answerTimes.record(
        service,
        options.clock() - sentAt,
        run.promptTime,
      );
    const outcome = await attempt({
      route,
      requestId: header.requestId,
      target,
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      lines: withLength(lines, request.method, accepted.body),
      body: accepted.body,
      protocol: options.protocol,
      response,
      progress,
      now: options.clock,
      ownLines: options.ownLines,
      longestSilence: longestSilence(route),
      onSilence: noticedLateBy => {
        options.metrics.countSilence(route.name);
        story.explain(`silent; noticed ${Math.round(noticedLateBy)} ms late`);
      },
      mayBegin: () => mayBegin(target),
      handOn: handOn.signal,
      signal: place ? AbortSignal.any([signal, place.lifeEnded]) : signal,
      onHeader: header => {
        const stated = options.statements.note({target, header, sentAt});
        stated.forEach(story.explain);
      },
      onFirstEvent: recordTime,
      onEvent: () => place?.inHand.begun(),
      keepAnswer: kept => (answer = kept),
      explain: story.explain,
    });
    stopOffering();
    if (outcome.kind === 'answered' && outcome.success) recordTime();
    place?.inHand.end();
    options.places.pump();
    const by = endedBy();
    const final =
      by !== undefined && outcome.kind !== 'streamed' ? {kind: by} : outcome;
    if (final === outcome) noteTarget(target, outcome);
    if (isConnectionLost(final)) options.metrics.countLostSend(route.name);
    noteCrash(target, final);
    if (final.kind !== 'notRun' && trial === 'held') trial = 'used';
    story.end(final.kind, 'cause' in final ? final.cause : undefined);
    return {kind: 'sent', outcome: final};
  }

  /** Whether what led to the choice of the target still holds. */
  function mayBegin(target: ListedTarget): boolean {
    if (signal.aborted) return false;
    if (isQuarantined() && trial !== 'held') return false;
    if (access.kind === 'workspace' && !isKeyConfirmed(options)) return false;
    return options.book.mayStart(target, needOf(sentTo));
  }

  /** Lets the stream go on elsewhere once its target is to load weights. */
  function offerToMove(
    target: ListedTarget,
    handOn: AbortController,
  ): () => void {
    const sends = sentTo.length + 1;
    if (!isModel || !route.resumable || sends >= route.attempts) {
      return () => undefined;
    }
    return options.handover.offer(target, {
      need: () => needOf([...sentTo, target]),
      begunAt: () => progress.begunAt,
      mayMove: () => progress.lastEventId !== undefined,
      takeMove: () => options.budgets.takeMove(service),
      handOn: () => handOn.abort(),
    });
  }

  function perform(
    effect: ForwardEffect<ListedTarget>,
  ): ForwardReply<ListedTarget> | Promise<ForwardReply<ListedTarget>> {
    switch (effect.kind) {
      case 'choosePlace':
        return choosePlace(effect.tried);
      case 'send':
        return send(effect.target, effect.resumeAfter);
      case 'takeRepeat': {
        const allowed = options.budgets.takeRepeat(service);
        story.repeat(allowed);
        return {kind: 'repeat', allowed};
      }
    }
  }

  return {
    perform,
    answer: () => answer,
    end: () => {
      if (trial === 'held') options.trials.giveBack(fingerprint);
    },
  };

  function noteCrash(
    target: ListedTarget,
    outcome: ForwardAttemptOutcome,
  ): void {
    switch (outcome.kind) {
      case 'unknown':
      case 'broken':
        if (place?.lifeEnded.aborted === true) {
          return options.crashWatch.noteEnded(fingerprint, target);
        }
        return void options.crashWatch.noteLost(fingerprint, target);
      case 'answered':
      case 'streamed':
        return options.crashWatch.noteCompleted(fingerprint);
      case 'notRun':
      case 'handedOn':
      case 'timedOut':
      case 'callerGone':
        return;
    }
  }

  function noteTarget(
    target: ListedTarget,
    outcome: ForwardAttemptOutcome,
  ): void {
    const now = options.clock();
    switch (outcome.kind) {
      case 'unknown':
      case 'broken':
        return options.book.noteFailure(target, now);
      case 'notRun':
        // Nothing was asked of the target.
        if (outcome.cause === 'outdated') return;
        if (outcome.cause === 'misdirected') {
          options.book.noteMisdirected(target, now);
        }
        return options.book.noteFailure(target, now);
      default:
        return options.book.noteSuccess(target);
    }
  }
}
