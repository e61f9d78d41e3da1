/** A process that can be frozen: it accepts, but answers nothing. */
export interface Freezer {
  readonly set: (frozen: boolean) => void;
  /** Resolves at once, or when the freeze ends. */
  readonly whenUnfrozen: () => Promise<void>;
}

/** A freezer that is off. */
export function createFreezer(): Freezer {
  let frozen = false;
  let waiters: (() => void)[] = [];

  return {
    set: value => {
      frozen = value;
      if (frozen) return;
      const pendingWaiters = waiters;
      waiters = [];
      for (const release of pendingWaiters) release();
    },
    whenUnfrozen: async () => {
      while (frozen) {
        await new Promise<void>(resolve => waiters.push(resolve));
      }
    },
  };
}
