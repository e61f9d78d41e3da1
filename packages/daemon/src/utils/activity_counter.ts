/** Counts the activities in progress under each name. */
export interface ActivityCounter {
  /**
   * Starts an activity; the returned function ends it and may be called again.
   */
  readonly begin: (name: string) => () => void;
  /** Names with at least one activity in progress. */
  readonly names: () => readonly string[];
}

/** Creates a counter without activities. */
export function createActivityCounter(): ActivityCounter {
  const counts = new Map<string, number>();
  const change = (name: string, by: 1 | -1): void => {
    const count = (counts.get(name) ?? 0) + by;
    if (count > 0) counts.set(name, count);
    else counts.delete(name);
  };
  return {
    begin: name => {
      change(name, 1);
      let ended = false;
      return () => {
        if (ended) return;
        ended = true;
        change(name, -1);
      };
    },
    names: () => [...counts.keys()],
  };
}
