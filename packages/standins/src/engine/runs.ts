import type {AttemptId} from '@hibiscusbeam/core';
import type {Run} from './run';

/** Finished runs are kept so that their streams can be resumed. */
const MAX_KEPT_RUNS = 2_000;

/** The runs of an engine, and how often each attempt was started. */
export interface Runs {
  readonly add: (run: Run) => void;
  readonly find: (attempt: AttemptId) => Run | undefined;
  readonly countStart: (run: Run) => void;
  readonly counts: () => {readonly [attempt: AttemptId]: number};
}

/** Creates an empty collection of runs. */
export function createRuns(): Runs {
  const runs = new Map<AttemptId, Run>();
  const counts = new Map<AttemptId, number>();

  function evictFinishedRuns(): void {
    for (const [attempt, run] of runs) {
      if (runs.size <= MAX_KEPT_RUNS) return;
      const state = run.state();
      if (state === 'queued' || state === 'running') continue;
      runs.delete(attempt);
    }
  }

  return {
    add: run => {
      runs.set(run.generation.attempt, run);
      evictFinishedRuns();
    },
    find: attempt => runs.get(attempt),
    countStart: run => {
      const {attempt} = run.generation;
      counts.set(attempt, (counts.get(attempt) ?? 0) + 1);
    },
    counts: () => Object.fromEntries(counts),
  };
}
