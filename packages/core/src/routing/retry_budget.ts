import {MOVE_RESERVE, RETRY_RESERVE, RETRY_SHARE} from './constants';

/** Limits retries to a share of first attempts. */
export interface RetryBudget {
  readonly recordFirstTry: () => void;
  /** Takes one retry if the budget allows it. */
  readonly takeRetry: () => boolean;
  /**
   * Takes one retry for a request that is moved, if enough remain for failures.
   */
  readonly takeMove: () => boolean;
  /** Retries that are available now. */
  readonly available: () => number;
  /** Changes the reserve; retries beyond a smaller one are dropped. */
  readonly setReserve: (reserve: number) => void;
}

/** Options of a budget. */
export interface RetryBudgetOptions {
  /** Retries earned by each first attempt. */
  readonly share?: number;
  /** Maximum number of saved retries, and the number at the start. */
  readonly reserve?: number;
}

/**
 * Creates a budget: after `n` first attempts, at most `reserve + share * n`
 * retries have been taken. Without it, an overloaded site stays overloaded, as
 * each failure adds load that causes the next one.
 */
export function createRetryBudget(
  options: RetryBudgetOptions = {},
): RetryBudget {
  const share = options.share ?? RETRY_SHARE;
  let reserve = options.reserve ?? RETRY_RESERVE;
  let available = reserve;

  const takeIfAvailable = (minAvailable: number): boolean => {
    if (available < minAvailable) return false;
    available -= 1;
    return true;
  };

  return {
    recordFirstTry: () => {
      available = Math.min(reserve, available + share);
    },
    takeRetry: () => takeIfAvailable(1),
    takeMove: () => takeIfAvailable(MOVE_RESERVE),
    available: () => Math.floor(available),
    setReserve: next => {
      reserve = next;
      available = Math.min(available, reserve);
    },
  };
}
