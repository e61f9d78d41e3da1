import type {Milliseconds} from '@hibiscusbeam/core';

/** Pauses of loops that can be ended before their time. */
export interface WakeablePause {
  /** Resolves after `duration`, when woken, or when `signal` aborts. */
  readonly sleep: (
    duration: Milliseconds,
    signal?: AbortSignal,
  ) => Promise<void>;
  /** Ends all pauses that last. */
  readonly wake: () => void;
}

/** Creates pauses that end together. */
export function createWakeablePause(): WakeablePause {
  const pauses = new Set<() => void>();

  function sleep(duration: Milliseconds, signal?: AbortSignal): Promise<void> {
    return new Promise(resolve => {
      const end = (): void => {
        clearTimeout(timer);
        pauses.delete(end);
        signal?.removeEventListener('abort', end);
        resolve();
      };
      const timer = setTimeout(end, duration);
      pauses.add(end);
      if (signal?.aborted === true) end();
      else signal?.addEventListener('abort', end);
    });
  }

  return {
    sleep,
    wake: () => {
      for (const end of [...pauses]) end();
    },
  };
}
