import type {
  Admission,
  FairQueue,
  QueueClass,
  Router,
  TargetChoice,
} from '@hibiscusbeam/core';
import {
  createAdmission,
  createFairQueue,
  createRetryBudget,
  createRouter,
  createWorkspaceLimits,
  createWorkspaceShares,
} from '@hibiscusbeam/core';
import type {WorkspaceLimits} from '@hibiscusbeam/core';
import type {EntryAttempt, EntryPolicy, EntryPort} from './entry_policy';
import type {LoadRequest} from './load';
import {MEAN_OUTPUT_TOKENS} from './load';
import {DEADLINE_MS, FIRST_TOKEN_GOAL_MS, HEARTBEAT_MS} from './timing';
import {MODEL, workspaceLimits, weightOf} from './site_configuration';

const EVALUATION_PERIOD_MS = 100;
const DISPATCH_PERIOD_MS = 20;

/** The hibiscusbeam policy, with the limits that heartbeats exchange. */
export interface HibiscusbeamPolicy extends EntryPolicy {
  readonly limits: WorkspaceLimits;
}

interface Expectation {
  readonly dispatchedAt: number;
  readonly expected: number;
}

/** Creates the policy of one entry from the same parts as a real entry. */
export function createHibiscusbeamPolicy(port: EntryPort): HibiscusbeamPolicy {
  const router: Router = createRouter();
  const admission: Admission = createAdmission({
    firstTokenGoal: FIRST_TOKEN_GOAL_MS,
  });
  const queue: FairQueue<LoadRequest> = createFairQueue();
  const retries = createRetryBudget();
  const limits = createWorkspaceLimits({
    entry: port.entry,
    heartbeat: HEARTBEAT_MS,
  });
  const shares = createWorkspaceShares({siteUse: limits.siteUse});
  const expectations = new Map<string, Expectation>();
  const attempts = new Map<string, EntryAttempt>();
  const now = port.clock.now;

  const choose = (
    request: LoadRequest,
    exclude: readonly string[],
  ): TargetChoice | undefined => {
    const chosen = router.chooseTarget({
      work: {kind: 'model', model: MODEL, versionDigest: undefined},
      prefix: request.prefix,
      zone: port.zone,
      now: now(),
      exclude,
    });
    return chosen.ok ? chosen.val : undefined;
  };

  const dispatch = (
    request: LoadRequest,
    choice: TargetChoice,
    alreadyProduced: number,
  ): void => {
    const attempt = port.send(request, choice.target, alreadyProduced);
    shares.started(request.workspace, weightOf(request.workspace));
    const sentAt = now();
    router.record({
      kind: 'dispatched',
      attempt,
      target: choice.target,
      now: sentAt,
    });
    expectations.set(attempt, {
      dispatchedAt: sentAt,
      expected: choice.expectedFirstToken,
    });
    const tries = retryCounts.get(request) ?? 1;
    attempts.set(attempt, {attempt, request, target: choice.target, tries});
  };
  const retryCounts = new Map<LoadRequest, number>();

  const isOverShare = (request: LoadRequest): boolean =>
    shares.isOverShare(request.workspace, weightOf(request.workspace));

  const onRequest = (request: LoadRequest): void => {
    const limited = limits.take(request.workspace, now());
    if (limited.kind === 'limited') {
      return port.refuse(request, limited.retryAfter);
    }
    const choice = choose(request, []);
    if (choice === undefined) return port.refuse(request, 1_000);
    const decision = admission.decide({
      now: now(),
      firstTokenBy: request.arriveAt + FIRST_TOKEN_GOAL_MS,
      deadline: request.arriveAt + DEADLINE_MS,
      expectedTokens: MEAN_OUTPUT_TOKENS,
      choice,
      turnsAhead: queue.turnsAhead(queueClassOf(request)),
      overShare: isOverShare(request),
    });
    switch (decision.kind) {
      case 'refuse':
        return port.refuse(request, decision.retryAfter);
      case 'dispatch':
        retries.recordFirstTry();
        return dispatch(request, choice, 0);
      case 'queue':
        return enqueue(request);
    }
  };

  const enqueue = (request: LoadRequest): void => {
    const queued = queue.enqueue(request, queueClassOf(request));
    if (queued.kind === 'full') port.refuse(request, 1_000);
    if (queued.kind === 'displaced') port.refuse(queued.item, 1_000);
    dispatchQueued();
  };

  const dispatchQueued = (): void => {
    for (;;) {
      const request = queue.peek();
      if (request === undefined) return;
      const choice = choose(request, []);
      const waited = now() - request.arriveAt;
      if (choice === undefined) return;
      if (!admission.mayLeaveQueue(choice, waited)) return;
      queue.dequeue();
      retries.recordFirstTry();
      dispatch(request, choice, 0);
    }
  };

  const retryElsewhere = (attempt: EntryAttempt): void => {
    const {request, target} = attempt;
    const choice = choose(request, [target]);
    if (choice === undefined || !retries.takeRetry()) return;
    retryCounts.set(request, attempt.tries + 1);
    dispatch(request, choice, port.produced(request));
  };

  const moveAttempt = (attempt: EntryAttempt, choice: TargetChoice): void => {
    port.cancel(attempt.attempt);
    endAttempt(attempt.attempt, 'refused');
    retryCounts.set(attempt.request, attempt.tries + 1);
    dispatch(attempt.request, choice, port.produced(attempt.request));
  };

  const evaluate = (): void => {
    router.evaluate(now());
    for (const stalled of router.stalledAttempts()) {
      const attempt = attempts.get(stalled.attempt);
      if (attempt === undefined) continue;
      const choice = choose(attempt.request, [attempt.target]);
      if (choice === undefined || !retries.takeRetry()) continue;
      moveAttempt(attempt, choice);
    }
    moveOverdue();
    port.clock.schedule(EVALUATION_PERIOD_MS, evaluate);
  };

  /** Moves attempts that wait at a target while another one has a free slot. */
  const moveOverdue = (): void => {
    for (const overdue of router.overdueAttempts(now())) {
      const attempt = attempts.get(overdue.attempt);
      if (attempt === undefined) continue;
      if (now() > attempt.request.arriveAt + FIRST_TOKEN_GOAL_MS) continue;
      const choice = choose(attempt.request, [attempt.target]);
      if (choice === undefined || !choice.idle) continue;
      if (retries.takeMove()) moveAttempt(attempt, choice);
    }
  };

  const endAttempt = (
    attempt: string,
    kind: 'finished' | 'refused' | 'failed',
  ): void => {
    router.record({kind, attempt, now: now()});
    const workspace = attempts.get(attempt)?.request.workspace;
    if (workspace !== undefined) shares.ended(workspace);
    expectations.delete(attempt);
    attempts.delete(attempt);
  };

  const dispatchPeriodically = (): void => {
    dispatchQueued();
    port.clock.schedule(DISPATCH_PERIOD_MS, dispatchPeriodically);
  };

  port.clock.schedule(port.random() * EVALUATION_PERIOD_MS, evaluate);
  port.clock.schedule(port.random() * DISPATCH_PERIOD_MS, dispatchPeriodically);
  return {
    limits,
    onRequest,
    onToken: ({attempt}, count, first) => {
      if (!first) {
        router.record({kind: 'token', attempt, tokens: count, now: now()});
        return;
      }
      router.record({kind: 'firstToken', attempt, now: now()});
      const expectation = expectations.get(attempt);
      if (expectation === undefined) return;
      const actual = now() - expectation.dispatchedAt;
      admission.recordFirstToken(expectation.expected, actual);
    },
    onEnd: ({attempt, request}, finished) => {
      endAttempt(attempt, finished ? 'finished' : 'refused');
      retryCounts.delete(request);
      dispatchQueued();
    },
    onFailure: attempt => {
      endAttempt(attempt.attempt, 'failed');
      retryElsewhere(attempt);
    },
    onReport: report =>
      router.record({kind: 'reportReceived', report, now: now()}),
    onEntryGone: entry => limits.entryGone(entry),
    onTargetGone: target =>
      router.record({kind: 'targetGone', target, now: now()}),
  };
}

function queueClassOf(request: LoadRequest): QueueClass {
  const weight = weightOf(request.workspace);
  return {workspace: request.workspace, priority: 0, weight};
}

/** Sets the limits that the configuration gives to every entry. */
export function configureLimits(
  limits: WorkspaceLimits,
  engines: number,
): void {
  for (const {workspace, limit} of workspaceLimits(engines)) {
    limits.setLimit(workspace, limit);
  }
}
