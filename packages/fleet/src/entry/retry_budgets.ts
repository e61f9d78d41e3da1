import {
  createRetryBudget,
  type RetryBudget,
  type ServiceName,
} from '@hibiscusbeam/core';

/** Repeats that this entry may make, for each service. */
export interface RetryBudgets {
  readonly recordFirstAttempt: (service: ServiceName) => void;
  readonly takeRetry: (service: ServiceName) => boolean;
  /**
   * Takes a repeat as soon as first requests allow one, in the order of asking;
   * resolves without one once the signal aborts.
   */
  readonly awaitRetry: (
    service: ServiceName,
    signal: AbortSignal,
  ) => Promise<boolean>;
  /** Takes one for a stream that is moved, if enough is left for failures. */
  readonly takeMove: (service: ServiceName) => boolean;
}

/** The site's bound on repeats, and among how many entries it is shared. */
export interface RetryBudgetsOptions {
  readonly share: number;
  readonly slack: number;
  /** Entries that may repeat at the same time; undefined until it is known. */
  readonly entries: () => number | undefined;
}

/**
 * Part of the site's bound that is used. The rest is for entries that start
 * anew, and with them a new part of the slack.
 */
const USED_SHARE = 0.6;

/**
 * Creates budgets that need no messages: each entry keeps to its own requests'
 * share, and to an equal part of what the site may repeat besides.
 */
export function createRetryBudgets(options: RetryBudgetsOptions): RetryBudgets {
  const budgets = new Map<ServiceName, RetryBudget>();
  const waiting = new Map<ServiceName, Set<() => void>>();

  /**
   * Failure: an entry that has just started knows no other one, takes the whole
   * slack for its own, and all of them together exceed the site's bound. Until
   * the others are known it repeats nothing, and its part shrinks as others join.
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
