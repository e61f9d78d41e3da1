/** Simulates a frozen process, which accepts requests but answers none. */
export interface Freezer {
  readonly set: (frozen: boolean) => void;
  /** Resolves at once if not frozen, else when the freeze ends. */
  readonly whenUnfrozen: () => Promise<void>;
}

/** Creates a freezer that is off. */
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
