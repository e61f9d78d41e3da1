import {
  createRetryBudget,
  type RetryBudget,
  type ServiceName,
} from '@hibiscusbeam/core';

/** Retries that this entry may make, for each service. */
export interface RetryBudgets {
  readonly recordFirstAttempt: (service: ServiceName) => void;
  readonly takeRetry: (service: ServiceName) => boolean;
  /**
   * Takes a retry as soon as first attempts allow one, in the order of the
   * calls; resolves to false if the signal aborts before.
   */
  readonly awaitRetry: (
    service: ServiceName,
    signal: AbortSignal,
  ) => Promise<boolean>;
  /** Takes a retry to move a stream, if enough are left for failures. */
  readonly takeMove: (service: ServiceName) => boolean;
}

/** The site's limit on retries, and the number of entries that share it. */
export interface RetryBudgetsOptions {
  readonly share: number;
  readonly slack: number;
  /** Entries that may retry at the same time; undefined until it is known. */
  readonly entries: () => number | undefined;
}

/**
 * Share of the site's limit that is used. The rest is for entries that restart
 * and take a new part of the slack.
 */
const USED_SHARE = 0.6;

/**
 * Creates budgets that need no messages: each entry keeps to the share of its
 * own requests, and to an equal part of the slack of the site.
 */
export function createRetryBudgets(options: RetryBudgetsOptions): RetryBudgets {
  const budgets = new Map<ServiceName, RetryBudget>();
  const waiting = new Map<ServiceName, Set<() => void>>();

  /**
   * An entry that has just started knows no other one, so it would take the
   * whole slack for itself, and all entries together would exceed the site's
   * limit. Until the others are known it doesn't retry, and its part shrinks as
   * others join.
   */
  function budgetOf(service: ServiceName): RetryBudget | undefined {
    const entries = options.entries();
    if (entries === undefined) return undefined;
    const reserve = (options.slack * USED_SHARE) / entries;
    const known = budgets.get(service);
    if (known !== undefined) {
      known.setReserve(reserve);
      return known;
    }
    const share = options.share * USED_SHARE;
    const budget = createRetryBudget({share, reserve});
    budgets.set(service, budget);
    return budget;
  }

  function waitersOf(service: ServiceName): Set<() => void> {
    const known = waiting.get(service) ?? new Set();
    waiting.set(service, known);
    return known;
  }

  function awaitRetry(
    service: ServiceName,
    signal: AbortSignal,
  ): Promise<boolean> {
    if (signal.aborted) return Promise.resolve(false);
    const waiters = waitersOf(service);
    return new Promise(resolve => {
      const grant = (): void => end(true);
      const withdraw = (): void => end(false);
      const end = (isGranted: boolean): void => {
        waiters.delete(grant);
        signal.removeEventListener('abort', withdraw);
        resolve(isGranted);
      };
      waiters.add(grant);
      signal.addEventListener('abort', withdraw);
    });
  }

  function recordFirstAttempt(service: ServiceName): void {
    const budget = budgetOf(service);
    budget?.recordFirstTry();
    const [grant] = waitersOf(service);
    if (grant !== undefined && budget?.takeRetry() === true) grant();
  }

  return {
    recordFirstAttempt,
    awaitRetry,
    takeRetry: service => budgetOf(service)?.takeRetry() ?? false,
    takeMove: service => budgetOf(service)?.takeMove() ?? false,
  };
}
