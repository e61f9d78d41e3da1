import {MOVE_RESERVE, RETRY_RESERVE, RETRY_SHARE} from './constants';

/** Bounds retries to a share of first tries. */
export interface RetryBudget {
  readonly recordFirstTry: () => void;
  /** Takes one retry if the budget allows it. */
  readonly takeRetry: () => boolean;
  /** Takes one for a request that is moved, if enough is left for failures. */
  readonly takeMove: () => boolean;
  /** Retries that may be taken now. */
  readonly available: () => number;
  /** Changes the reserve; what is left beyond a smaller one lapses. */
  readonly setReserve: (reserve: number) => void;
}

/** Bounds of a budget; the defaults are those of the design note. */
export interface RetryBudgetOptions {
  /** Retries earned by each first try. */
  readonly share?: number;
  /** Most retries kept for later, and the number at the start. */
  readonly reserve?: number;
}

/**
 * Creates a budget: after `n` first tries, at most `reserve + share * n`
 * retries have been taken. Guard against retries that keep an overloaded site
 * overloaded: each failure would add load that causes the next one.
 */
export function createRetryBudget(
  options: RetryBudgetOptions = {},
): RetryBudget {
  const share = options.share ?? RETRY_SHARE;
  let reserve = options.reserve ?? RETRY_RESERVE;
  let available = reserve;

  const takeIfLeft = (left: number): boolean => {
    if (available < left) return false;
    available -= 1;
    return true;
  };

  return {
    recordFirstTry: () => {
      available = Math.min(reserve, available + share);
    },
    takeRetry: () => takeIfLeft(1),
    takeMove: () => takeIfLeft(MOVE_RESERVE),
    available: () => Math.floor(available),
    setReserve: next => {
      reserve = next;
      available = Math.min(available, reserve);
    },
  };
}
