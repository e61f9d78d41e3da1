/** A process that can be frozen: it accepts, but answers nothing. */
export interface Freezer {
  readonly set: (frozen: boolean) => void;
  /** Resolves at once, or when the freeze ends. */
  readonly thawed: () => Promise<void>;
}

/** A freezer that is off. */
export function createFreezer(): Freezer {
  let frozen = false;
  let waiting: (() => void)[] = [];

  return {
    set: value => {
      frozen = value;
      if (frozen) return;
      const released = waiting;
      waiting = [];
      for (const release of released) release();
    },
    thawed: async () => {
      while (frozen) {
        await new Promise<void>(resolve => waiting.push(resolve));
      }
    },
  };
}
