import {
  unreachable,
  type AttemptAddress,
  type AttemptEvent,
  type AttemptId,
  type EmitEffect,
  type Milliseconds,
  type MonotonicInstant,
  type RequestEffect,
  type RequestFlow,
  type RequestReply,
  type RequestResult,
  type TombstoneAnswer,
  type VersionDigest,
} from '@hibiscusbeam/core';
import type {Platform} from '@hibiscusbeam/platform';
import {sleep, type Clock} from '../runtime/clock';
import {drive} from '../runtime/drive';
import type {SiteClientPool} from '../site/site_clients';
import {createAttemptStream, type AttemptStream} from './attempt_stream';
import type {Dispatcher, Reservation, RoutedRequest} from './dispatcher_types';
import type {GroupCommitDriver} from './group_commit_driver';
import {serveRequestOf, type ServeWork} from './serve_requests';
import type {TargetDirectory} from './target_directory';
import {requestTombstone} from './tombstones';

/** What the runner needs to know of a request. */
export interface RequestContext {
  readonly routed: RoutedRequest;
  readonly serveWork: ServeWork;
  readonly emit: (frame: EmitEffect['frame']) => Promise<void> | undefined;
  /**
   * Aborts when the caller disconnects. Undefined for calls of a plain service,
   * so that a call that may not be retried runs to its end and its outcome is
   * recorded.
   */
  readonly callerGone: AbortSignal | undefined;
}

/** Runs request flows by performing their effects. */
export interface RequestRunner {
  readonly run: (
    flow: RequestFlow<RequestResult>,
    context: RequestContext,
  ) => Promise<RequestResult>;
  /** Withdraws an attempt, if it is repeatable, to retry on another target. */
  readonly withdraw: (attempt: AttemptId) => void;
  readonly running: () => number;
}

/** Options of {@link createRequestRunner}. */
export interface RequestRunnerOptions {
  readonly clock: Clock;
  readonly platform: Platform;
  readonly groupCommit: GroupCommitDriver;
  readonly clients: SiteClientPool;
  readonly directory: TargetDirectory;
  readonly dispatcher: () => Dispatcher;
}

/** Creates the runner of one entry. */
export function createRequestRunner(
  options: RequestRunnerOptions,
): RequestRunner {
  const withdrawals = new Map<AttemptId, () => void>();
  let running = 0;
  return {
    run: async (flow, context) => {
      const request = createRequestDriver(options, context, withdrawals);
      running += 1;
      try {
        return await drive(flow, request.perform);
      } finally {
        running -= 1;
        request.close();
      }
    },
    withdraw: attempt => withdrawals.get(attempt)?.(),
    running: () => running,
  };
}

interface TrackedAttempt {
  readonly stream: AttemptStream;
  readonly dispatchedAt: MonotonicInstant;
  /** Whether routing still has to be notified of the attempt's end. */
  open: boolean;
  tokens: number;
  /** Ends the attempt's use of the workspace's share. */
  endWork: (() => void) | undefined;
}

function createRequestDriver(
  options: RequestRunnerOptions,
  context: RequestContext,
  withdrawals: Map<AttemptId, () => void>,
) {
  const {clock, platform, clients, directory} = options;
  const dispatcher = options.dispatcher();
  const streams = new Map<AttemptId, TrackedAttempt>();
  const {callerGone} = context;
  let reservation: Reservation | undefined;

  const interruptStreams = (): void => {
    for (const {stream} of streams.values()) {
      stream.interrupt({kind: 'callerGone'});
    }
  };
  callerGone?.addEventListener('abort', interruptStreams, {once: true});

  const releaseReservation = (): void => {
    reservation?.release();
    reservation?.end();
    reservation = undefined;
  };

  const openStream = (
    address: AttemptAddress,
    kind: 'serve' | 'collect',
    deadline: MonotonicInstant,
    versionDigest?: VersionDigest,
  ): TrackedAttempt | undefined => {
    const agent = directory.findByInstance(address.instance);
    if (agent === undefined) return undefined;
    const client = clients.at(agent.address).agent;
    const now = clock();
    const call =
      kind === 'serve'
        ? client.serve(
            serveRequestOf(
              context.serveWork,
              address,
              deadline - now,
              versionDigest,
            ),
            clients.metadata,
          )
        : client.collect(
            {attempt: address.attempt, incarnation: address.incarnation},
            clients.metadata,
          );
    const stream = createAttemptStream(call, clock);
    const isServe = kind === 'serve';
    const tracked: TrackedAttempt = {
      stream,
      dispatchedAt: now,
      open: isServe,
      tokens: 0,
      endWork: undefined,
    };
    streams.set(address.attempt, tracked);
    return tracked;
  };

  const dispatch = (
    effect: Extract<RequestEffect, {readonly kind: 'dispatch'}>,
  ) => {
    const {address, until, deadline, versionDigest} = effect;
    const {attempt, target} = address;
    const expected = reservation?.expectedFirstToken ?? 0;
    const tracked = openStream(address, 'serve', deadline, versionDigest);
    if (tracked === undefined) {
      releaseReservation();
      return eventReply({kind: 'cut', detail: 'the agent is not known'});
    }
    // From here on, routing counts the attempt instead of the reservation.
    reservation?.release();
    tracked.endWork = reservation?.end;
    reservation = undefined;
    dispatcher.record({kind: 'dispatched', attempt, target, now: clock()});
    if (context.serveWork.repeatable) {
      dispatcher.recordAttempt(attempt, context.routed, target);
      withdrawals.set(attempt, () => {
        // Recorded as refused, so that it doesn't count as a target's failure.
        closeAttempt(attempt, tracked, 'refused');
        tracked.stream.interrupt({kind: 'timedOut'});
      });
    }
    return awaitEvent(attempt, tracked, until, expected);
  };

  const awaitEvent = (
    attempt: AttemptId,
    tracked: TrackedAttempt,
    until: MonotonicInstant,
    expected: Milliseconds,
  ): RequestReply | Promise<RequestReply> => {
    const recordAndReply = (next: AttemptEvent): RequestReply => {
      recordEvent(attempt, tracked, next, expected);
      return eventReply(next);
    };
    if (callerGone?.aborted === true) {
      return recordAndReply({kind: 'callerGone'});
    }
    const next = tracked.stream.next(until);
    return next instanceof Promise
      ? next.then(recordAndReply)
      : recordAndReply(next);
  };

  const recordEvent = (
    attempt: AttemptId,
    tracked: TrackedAttempt,
    next: AttemptEvent,
    expected: Milliseconds,
  ): void => {
    if (!tracked.open) return;
    const now = clock();
    switch (next.kind) {
      case 'started':
        return;
      case 'data':
        tracked.tokens += 1;
        if (tracked.tokens > 1) {
          dispatcher.record({kind: 'token', attempt, tokens: 1, now});
          return;
        }
        dispatcher.record({kind: 'firstToken', attempt, now});
        dispatcher.recordFirstToken(expected, now - tracked.dispatchedAt);
        return;
      case 'end':
        dispatcher.recordAnswer(context.routed.work, tracked.tokens);
        return closeAttempt(attempt, tracked, 'finished');
      case 'refused':
      case 'callerGone':
        return closeAttempt(attempt, tracked, 'refused');
      case 'failed':
      case 'cut':
      case 'timedOut':
        return closeAttempt(attempt, tracked, 'failed');
      default:
        return unreachable(next);
    }
  };

  const closeAttempt = (
    attempt: AttemptId,
    tracked: TrackedAttempt,
    kind: 'finished' | 'refused' | 'failed',
  ): void => {
    if (!tracked.open) return;
    tracked.open = false;
    tracked.endWork?.();
    withdrawals.delete(attempt);
    dispatcher.record({kind, attempt, now: clock()});
  };

  const tombstone = (
    address: AttemptAddress,
    until: MonotonicInstant,
  ): Promise<TombstoneAnswer | undefined> => {
    const agent = directory.findByInstance(address.instance);
    if (agent === undefined) return Promise.resolve(undefined);
    const remaining = Math.max(1, until - clock());
    return requestTombstone(clients, agent.address, address, remaining);
  };

  const perform = (
    effect: RequestEffect,
  ): RequestReply | Promise<RequestReply> => {
    switch (effect.kind) {
      case 'readRow':
        return platform.table
          .read(effect.key)
          .then(result => ({kind: 'row', result}));
      case 'commit':
        return options.groupCommit
          .commit(effect.transaction)
          .then(result => ({kind: 'commit', result}));
      case 'chooseTarget':
        releaseReservation();
        return dispatcher.choose(context.routed, effect).then(reserved => {
          reservation = reserved;
          return {kind: 'choice', choice: reserved.choice};
        });
      case 'dispatch':
        return dispatch(effect);
      case 'collect': {
        const tracked = openStream(effect.address, 'collect', effect.until);
        if (tracked === undefined) {
          return eventReply({kind: 'cut', detail: 'the agent is not known'});
        }
        return awaitEvent(effect.address.attempt, tracked, effect.until, 0);
      }
      case 'awaitEvent': {
        const tracked = streams.get(effect.attempt);
        if (tracked === undefined) {
          return eventReply({kind: 'cut', detail: 'no such stream'});
        }
        return awaitEvent(effect.attempt, tracked, effect.until, 0);
      }
      case 'cancel': {
        const tracked = streams.get(effect.address.attempt);
        tracked?.stream.cancel();
        if (tracked?.open === true) {
          closeAttempt(effect.address.attempt, tracked, 'failed');
        }
        return {kind: 'done'};
      }
      case 'tombstone':
        return tombstone(effect.address, effect.until).then(answer => ({
          kind: 'tombstone',
          answer,
        }));
      case 'wait':
        return sleep(effect.duration).then(() => ({kind: 'done'}));
      case 'emit': {
        if (callerGone?.aborted === true) return {kind: 'callerGone'};
        const written = context.emit(effect.frame);
        if (written === undefined) return {kind: 'done'};
        return written.then(() => ({kind: 'done'}));
      }
      case 'putObject':
        return platform.objects
          .put(effect.key, effect.content)
          .then(result => ({kind: 'stored', result}));
      case 'getObject':
        return platform.objects
          .get(effect.key)
          .then(result => ({kind: 'object', result}));
      default:
        return unreachable(effect);
    }
  };

  const close = (): void => {
    releaseReservation();
    callerGone?.removeEventListener('abort', interruptStreams);
    for (const [attempt, tracked] of streams) {
      if (!tracked.open) continue;
      tracked.stream.cancel();
      closeAttempt(attempt, tracked, 'failed');
    }
  };

  return {perform, close};
}

function eventReply(next: AttemptEvent): RequestReply {
  return {kind: 'event', event: next};
}
