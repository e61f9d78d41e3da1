import {MAX_LOGGED_CHANGES} from './bounds';
import type {LivenessChange, LivenessDelta} from './types';

/** A bounded log of liveness changes, addressed by position. */
export interface ChangeLog {
  readonly add: (change: LivenessChange) => void;
  /** Returns undefined if the log no longer reaches back to the position. */
  readonly since: (position: number) => LivenessDelta | undefined;
  readonly latest: () => number;
}

/** Creates an empty log; the first change has position 1. */
export function createChangeLog(): ChangeLog {
  const changes: LivenessChange[] = [];
  let latest = 0;
  return {
    add: change => {
      latest += 1;
      changes.push(change);
      if (changes.length > MAX_LOGGED_CHANGES) changes.shift();
    },
    since: position => {
      const missed = latest - position;
      if (position < 1 || missed < 0 || missed > changes.length) {
        return undefined;
      }
      const kept = changes.slice(changes.length - missed);
      return {kind: 'changes', changes: kept, latest};
    },
    latest: () => latest,
  };
}
