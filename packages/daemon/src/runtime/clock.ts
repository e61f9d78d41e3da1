import type {Milliseconds, MonotonicInstant} from '@hibiscusbeam/core';

/** Reads the process's monotonic clock, which never goes back. */
export type Clock = () => MonotonicInstant;

/** The monotonic clock of this process. */
export const monotonicClock: Clock = () => performance.now();

/** Resolves after `duration`, or at once when `signal` aborts. */
export function sleep(
  duration: Milliseconds,
  signal?: AbortSignal,
): Promise<void> {
  return new Promise(resolve => {
    const finish = (): void => {
      clearTimeout(timer);
      // Loops pass the same signal to every sleep while the process runs; a
      // listener left behind by each sleep would leak memory.
      signal?.removeEventListener('abort', finish);
      resolve();
    };
    const timer = setTimeout(finish, duration);
    if (signal?.aborted === true) finish();
    else signal?.addEventListener('abort', finish);
  });
}

/** Calls `action` every `period` until the returned function is called. */
export function every(period: Milliseconds, action: () => void): () => void {
  const timer = setInterval(action, period);
  return () => clearInterval(timer);
}
