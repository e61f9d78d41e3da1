import type {Milliseconds} from '@hibiscusbeam/core';

/** Pauses that can be ended early. */
export interface WakeablePause {
  /** Resolves after `duration`, when woken, or when `signal` aborts. */
  readonly sleep: (
    duration: Milliseconds,
    signal?: AbortSignal,
  ) => Promise<void>;
  /** Ends all current pauses. */
  readonly wake: () => void;
}

/** Creates pauses that are ended together by `wake`. */
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
