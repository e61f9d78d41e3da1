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
  QueuedRequest,
  DispatcherOptions,
} from './dispatcher_types';

/** Users expect the first token within 1.9 s for 95 of 100 requests. */
const FIRST_TOKEN_GOAL: Milliseconds = 1_900;

/** How often targets and attempts in flight are evaluated. */
const EVALUATION_PERIOD: Milliseconds = 100;

/** How often queued requests are checked. */
const QUEUE_CHECK_PERIOD: Milliseconds = 20;

/** Weight of the newest answer in the moving average of answer lengths. */
const SAMPLE_WEIGHT = 0.05;

/** Expected tokens of a model's answer before its first one. */
const INITIAL_MEAN_TOKENS = 64;

const QUEUE_FULL_RETRY_AFTER: Milliseconds = 1_000;

/** Creates a dispatcher from router, admission, fair queue and retry budget. */
export function createDispatcher(options: DispatcherOptions): Dispatcher {
  const {clock, directory} = options;
  const router = createRouter();
  const admission = createAdmission({
    firstTokenGoal: FIRST_TOKEN_GOAL,
  });
  const queue = createFairQueue<QueuedRequest>({
    capacity: options.queueCapacity,
  });
  const retryBudget = createRetryBudget();
  const shares = createWorkspaceShares({siteUse: options.siteUse});
  const meanTokens = new Map<string, number>();
  const attempts = new Map<
    AttemptId,
    {readonly request: RoutedRequest; readonly target: TargetName}
  >();
  /** Requests whose next retry has already been taken from the budget. */
  const prepaidRetries = new WeakSet<RoutedRequest>();
  let reservations = 0;

  const route = ({
    request,
    effect,
  }: Pick<QueuedRequest, 'request' | 'effect'>) =>
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
    const agent = directory.findByTarget(routed.target);
    if (agent === undefined) return refuse('noTarget', QUEUE_FULL_RETRY_AFTER);
    // Several requests may be given a target in one turn of the event loop,
    // before any of them is dispatched. Without a reservation, each would see
    // the target as idle and all would go there.
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
    const queueClass = {workspace: request.workspace, ...request.precedence};
    const decision = admission.decide({
      now: clock(),
      firstTokenBy: request.firstTokenBy,
      deadline: request.deadline,
      expectedTokens: expectedTokens(request),
      choice: routed.val,
      turnsAhead: queue.turnsAhead(queueClass),
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
          enqueue({request, effect, queuedAt: clock(), resolve}, queueClass);
        });
    }
  };

  const enqueue = (
    queued: QueuedRequest,
    queueClass: Parameters<typeof queue.enqueue>[1],
  ): void => {
    const enqueued = queue.enqueue(queued, queueClass);
    startQueueChecks();
    if (enqueued.kind === 'full') {
      queued.resolve(refuse('queueFull', QUEUE_FULL_RETRY_AFTER));
    }
    if (enqueued.kind === 'displaced') {
      enqueued.item.resolve(refuse('queueFull', QUEUE_FULL_RETRY_AFTER));
    }
  };

  const dispatchQueued = (): void => {
    for (;;) {
      const queued = queue.peek();
      if (queued === undefined) return;
      const routed = route(queued);
      if (routed.err) {
        queue.dequeue();
        queued.resolve(refuse('noTarget', routed.val.retryAfter));
        continue;
      }
      const waited = clock() - queued.queuedAt;
      if (!admission.mayLeaveQueue(routed.val, waited)) return;
      queue.dequeue();
      queued.resolve(reserve(queued.request, routed.val));
    }
  };

  const refuseOverdue = (): void => {
    const now = clock();
    const overdue = queue.drop(queued => queued.effect.until <= now);
    for (const queued of overdue) {
      queued.resolve(refuse('deadlineTooShort', QUEUE_FULL_RETRY_AFTER));
    }
  };

  const expectedTokens = ({work, maximumTokens}: RoutedRequest): number => {
    if (work.kind === 'service') return 0;
    const mean = meanTokens.get(work.model) ?? INITIAL_MEAN_TOKENS;
    return Math.min(maximumTokens, mean);
  };

  /** Returns another target for the request of an attempt, if there is one. */
  const findOtherTarget = (attempt: AttemptId): TargetChoice | undefined => {
    const startedAttempt = attempts.get(attempt);
    if (startedAttempt === undefined) return undefined;
    const {request, target} = startedAttempt;
    const effect = {
      exclude: [target],
      versionDigest: undefined,
      until: request.deadline,
    };
    const routed = route({request, effect});
    return routed.ok ? routed.val : undefined;
  };

  const withdrawForRetry = (attempt: AttemptId): void => {
    const request = attempts.get(attempt)?.request;
    if (request === undefined) return;
    prepaidRetries.add(request);
    attempts.delete(attempt);
    options.onRetry();
    options.onWithdraw(attempt);
  };

  /** Withdraws attempts from targets that have stalled. */
  const withdrawStalled = (): void => {
    for (const {attempt} of router.stalledAttempts()) {
      if (findOtherTarget(attempt) === undefined) continue;
      if (retryBudget.takeRetry()) withdrawForRetry(attempt);
    }
  };

  /** Withdraws attempts that wait at a target while another one is idle. */
  const withdrawOverdue = (): void => {
    for (const {attempt} of router.overdueAttempts(clock())) {
      const startedAttempt = attempts.get(attempt);
      const firstTokenBy = startedAttempt?.request.firstTokenBy ?? 0;
      if (startedAttempt === undefined || clock() > firstTokenBy) continue;
      if (findOtherTarget(attempt)?.idle !== true) continue;
      if (retryBudget.takeMove()) withdrawForRetry(attempt);
    }
  };

  const stopEvaluation = every(EVALUATION_PERIOD, () => {
    router.evaluate(clock());
    withdrawStalled();
    withdrawOverdue();
  });

  // Runs only while requests wait: 50 checks a second would take much of an
  // idle entry's CPU budget.
  let stopQueueChecks: (() => void) | undefined;
  const startQueueChecks = (): void => {
    stopQueueChecks ??= every(QUEUE_CHECK_PERIOD, () => {
      refuseOverdue();
      dispatchQueued();
      if (queue.size() > 0) return;
      stopQueueChecks?.();
      stopQueueChecks = undefined;
    });
  };

  return {
    choose,
    record: event => {
      router.record(event);
      if (!isAttemptEnd(event)) return;
      attempts.delete(event.attempt);
      dispatchQueued();
    },
    recordFirstToken: admission.recordFirstToken,
    recordAnswer: (work, tokens) => {
      if (work.kind === 'service') return;
      const mean = meanTokens.get(work.model) ?? INITIAL_MEAN_TOKENS;
      meanTokens.set(work.model, mean + SAMPLE_WEIGHT * (tokens - mean));
    },
    recordFirstTry: retryBudget.recordFirstTry,
    recordAttempt: (attempt, request, target) =>
      void attempts.set(attempt, {request, target}),
    spendRetry: request => {
      // Already taken from the budget when the attempt was withdrawn.
      if (prepaidRetries.delete(request)) return true;
      const isTaken = retryBudget.takeRetry();
      if (isTaken) options.onRetry();
      return isTaken;
    },
    waiting: queue.size,
    dump: () => router.dump(clock()),
    close: () => {
      stopEvaluation();
      stopQueueChecks?.();
    },
  };
}

function isAttemptEnd(
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
