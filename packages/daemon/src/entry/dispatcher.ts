import {
  createAdmission,
  createFairQueue,
  createRetryBudget,
  createRouter,
  createWorkspaceShares,
  promptPrefix,
  type AttemptId,
  type Milliseconds,
  type TargetChoice,
  type RoutedWork,
  type TargetName,
  type RoutingEvent,
  type DispatchTarget,
} from '@hibiscusbeam/core';
import {every} from '../runtime/clock';
import type {
  RoutedRequest,
  Reservation,
  Dispatcher,
  Waiter,
  DispatcherOptions,
} from './dispatcher_types';

/** First token goal of the users: 1.9 s for 95 in 100. */
const FIRST_TOKEN_GOAL: Milliseconds = 1_900;

/** How often targets and attempts under way are judged. */
const JUDGE_PERIOD: Milliseconds = 100;

/** How often waiting requests are looked at. */
const TURN_PERIOD: Milliseconds = 20;

/** Weight of the newest answer in the mean number of tokens. */
const TOKENS_WEIGHT = 0.05;

/** Tokens of an answer until one was seen. */
const INITIAL_TOKENS = 64;

const QUEUE_FULL_RETRY_AFTER: Milliseconds = 1_000;

/** Joins router, admission, fair queue and retry budget. */
export function createDispatcher(options: DispatcherOptions): Dispatcher {
  const {clock, directory} = options;
  const router = createRouter();
  const admission = createAdmission({
    firstTokenGoal: FIRST_TOKEN_GOAL,
  });
  const queue = createFairQueue<Waiter>({capacity: options.queueCapacity});
  const retryBudget = createRetryBudget();
  const shares = createWorkspaceShares({siteUse: options.siteUse});
  const meanTokens = new Map<string, number>();
  const attempts = new Map<
    AttemptId,
    {readonly request: RoutedRequest; readonly target: TargetName}
  >();
  /** Requests whose next try is paid for. */
  const granted = new WeakSet<RoutedRequest>();
  let reservations = 0;

  const route = ({request, effect}: Pick<Waiter, 'request' | 'effect'>) =>
    router.chooseTarget({
      work: withVersion(request.work, effect.versionDigest),
      prefix: promptPrefix(request.prompt),
      zone: options.zone,
      now: clock(),
      exclude: effect.exclude,
    });

  const reserve = (
    {workspace, precedence}: RoutedRequest,
    routed: TargetChoice,
  ): Reservation => {
    const agent = directory.ofTarget(routed.target);
    if (agent === undefined) return refuse('noTarget', QUEUE_FULL_RETRY_AFTER);
    // Several requests may be given a target in one turn of the loop, before
    // any of them is dispatched; without a reservation each would see the
    // target as idle and all would go there.
    reservations += 1;
    const attempt = `reservation/${reservations}`;
    const {target} = routed;
    router.record({kind: 'dispatched', attempt, target, now: clock()});
    shares.started(workspace, precedence.weight);
    const {instance, incarnation} = agent;
    return {
      choice: {kind: 'target', target, instance, incarnation},
      release: () => router.record({kind: 'refused', attempt, now: clock()}),
      end: () => shares.ended(workspace),
      expectedFirstToken: routed.expectedFirstToken,
    };
  };

  const choose: Dispatcher['choose'] = async (request, effect) => {
    const routed = route({request, effect});
    if (routed.err) return refuse('noTarget', routed.val.retryAfter);
    const place = {workspace: request.workspace, ...request.precedence};
    const decision = admission.decide({
      now: clock(),
      firstTokenBy: request.firstTokenBy,
      deadline: request.deadline,
      expectedTokens: expectedTokens(request),
      choice: routed.val,
      turnsAhead: queue.turnsAhead(place),
      overShare: shares.isOverShare(
        request.workspace,
        request.precedence.weight,
      ),
    });
    switch (decision.kind) {
      case 'dispatch':
        return reserve(request, routed.val);
      case 'refuse':
        return refuse(decision.reason, decision.retryAfter);
      case 'queue':
        return new Promise(resolve => {
          enqueue({request, effect, queuedAt: clock(), resolve}, place);
        });
    }
  };

  const enqueue = (
    waiter: Waiter,
    place: Parameters<typeof queue.enqueue>[1],
  ): void => {
    const enqueued = queue.enqueue(waiter, place);
    takeTurns();
    if (enqueued.kind === 'full') {
      waiter.resolve(refuse('queueFull', QUEUE_FULL_RETRY_AFTER));
    }
    if (enqueued.kind === 'displaced') {
      enqueued.item.resolve(refuse('queueFull', QUEUE_FULL_RETRY_AFTER));
    }
  };

  const giveTurns = (): void => {
    for (;;) {
      const waiter = queue.peek();
      if (waiter === undefined) return;
      const routed = route(waiter);
      if (routed.err) {
        queue.dequeue();
        waiter.resolve(refuse('noTarget', routed.val.retryAfter));
        continue;
      }
      const waited = clock() - waiter.queuedAt;
      if (!admission.mayLeaveQueue(routed.val, waited)) return;
      queue.dequeue();
      waiter.resolve(reserve(waiter.request, routed.val));
    }
  };

  const dropOverdue = (): void => {
    const now = clock();
    const overdue = queue.drop(waiter => waiter.effect.until <= now);
    for (const waiter of overdue) {
      waiter.resolve(refuse('deadlineTooShort', QUEUE_FULL_RETRY_AFTER));
    }
  };

  const expectedTokens = ({work, maximumTokens}: RoutedRequest): number => {
    if (work.kind === 'service') return 0;
    const mean = meanTokens.get(work.model) ?? INITIAL_TOKENS;
    return Math.min(maximumTokens, mean);
  };

  /** Another target for an attempt's request, if there is one. */
  const findElsewhere = (attempt: AttemptId): TargetChoice | undefined => {
    const begun = attempts.get(attempt);
    if (begun === undefined) return undefined;
    const {request, target} = begun;
    const effect = {
      exclude: [target],
      versionDigest: undefined,
      until: request.deadline,
    };
    const routed = route({request, effect});
    return routed.ok ? routed.val : undefined;
  };

  const move = (attempt: AttemptId): void => {
    const request = attempts.get(attempt)?.request;
    if (request === undefined) return;
    granted.add(request);
    attempts.delete(attempt);
    options.onRetry();
    options.onMove(attempt);
  };

  /** Takes attempts back from targets that have stalled. */
  const moveStalled = (): void => {
    for (const {attempt} of router.stalledAttempts()) {
      if (findElsewhere(attempt) === undefined) continue;
      if (retryBudget.takeRetry()) move(attempt);
    }
  };

  /** Takes back what waits at a target while another one has a free slot. */
  const moveOverdue = (): void => {
    for (const {attempt} of router.overdueAttempts(clock())) {
      const begun = attempts.get(attempt);
      const firstTokenBy = begun?.request.firstTokenBy ?? 0;
      if (begun === undefined || clock() > firstTokenBy) continue;
      if (findElsewhere(attempt)?.idle !== true) continue;
      if (retryBudget.takeMove()) move(attempt);
    }
  };

  const stopJudging = every(JUDGE_PERIOD, () => {
    router.evaluate(clock());
    moveStalled();
    moveOverdue();
  });

  // Only while something waits: fifty turns a second of an idle entry would be
  // a good part of its budget of processor time.
  let stopTurns: (() => void) | undefined;
  const takeTurns = (): void => {
    stopTurns ??= every(TURN_PERIOD, () => {
      dropOverdue();
      giveTurns();
      if (queue.size() > 0) return;
      stopTurns?.();
      stopTurns = undefined;
    });
  };

  return {
    choose,
    record: event => {
      router.record(event);
      if (!isEnd(event)) return;
      attempts.delete(event.attempt);
      giveTurns();
    },
    recordFirstToken: admission.recordFirstToken,
    recordAnswer: (work, tokens) => {
      if (work.kind === 'service') return;
      const mean = meanTokens.get(work.model) ?? INITIAL_TOKENS;
      meanTokens.set(work.model, mean + TOKENS_WEIGHT * (tokens - mean));
    },
    recordFirstTry: retryBudget.recordFirstTry,
    began: (attempt, request, target) =>
      void attempts.set(attempt, {request, target}),
    spendRetry: request => {
      // Already paid for by whoever took the attempt back.
      if (granted.delete(request)) return true;
      const isTaken = retryBudget.takeRetry();
      if (isTaken) options.onRetry();
      return isTaken;
    },
    waiting: queue.size,
    dump: () => router.dump(clock()),
    close: () => {
      stopJudging();
      stopTurns?.();
    },
  };
}

function isEnd(
  event: RoutingEvent,
): event is Extract<
  RoutingEvent,
  {readonly kind: 'finished' | 'refused' | 'failed'}
> {
  return (
    event.kind === 'finished' ||
    event.kind === 'refused' ||
    event.kind === 'failed'
  );
}

function withVersion(
  work: RoutedWork,
  versionDigest: string | undefined,
): RoutedWork {
  if (work.kind === 'service' || versionDigest === undefined) return work;
  return {...work, versionDigest};
}

function refuse(
  reason: Extract<DispatchTarget, {kind: 'none'}>['reason'],
  retryAfter: Milliseconds,
): Reservation {
  return {
    choice: {kind: 'none', reason, retryAfter},
    release: () => undefined,
    end: () => undefined,
    expectedFirstToken: 0,
  };
}
