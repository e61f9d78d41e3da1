import type {Milliseconds, MonotonicInstant} from '@hibiscusbeam/core';
import type {Clock} from '../shared/clock';
import type {Freezer} from '../shared/freezer';
import type {PrefixCache} from './prefix_cache';
import type {Run} from './run';

/** Share of the step time that each further run in the batch adds. */
const BATCH_SLOWDOWN = 0.05;

/** Share of the first token's time that remains if the prefix is cached. */
const CACHED_FIRST_TOKEN_SHARE = 0.2;

/** Times of generation. */
export interface BatchTimes {
  /** Time of one step with one run. */
  readonly tokenTime: Milliseconds;
  /** Time to process a prompt whose prefix is not cached. */
  readonly firstTokenTime: Milliseconds;
}

/** Times to change; omitted ones stay. */
export type BatchTimeChanges = {
  readonly [Name in keyof BatchTimes]?: BatchTimes[Name] | undefined;
};

/**
 * Executes up to `slots` runs at once; others wait by priority, then by age.
 */
export interface Batch {
  /** False if the queue is full. */
  readonly submit: (run: Run) => boolean;
  /** Removes a cancelled run. */
  readonly remove: (run: Run) => void;
  readonly setTimes: (changes: BatchTimeChanges) => void;
  readonly load: () => {readonly running: number; readonly queued: number};
}

/** Options of {@link createBatch}. */
export interface BatchOptions {
  readonly clock: Clock;
  readonly freezer: Freezer;
  readonly cache: PrefixCache;
  readonly slots: number;
  readonly queueLimit: number;
  readonly times: BatchTimes;
  readonly onChange: () => void;
  readonly onStart: (run: Run) => void;
}

/** Creates an idle batch. */
export function createBatch(options: BatchOptions): Batch {
  const {clock, freezer, cache, slots, queueLimit} = options;
  let times = options.times;
  let queue: Run[] = [];
  const running = new Map<Run, MonotonicInstant>();
  let stepping = false;

  function firstTokenAt(run: Run): MonotonicInstant {
    const {versionDigest, prompt} = run.generation;
    const hit = cache.use(versionDigest, prompt);
    const share = hit ? CACHED_FIRST_TOKEN_SHARE : 1;
    return clock.now() + share * times.firstTokenTime;
  }

  function admit(): void {
    while (running.size < slots) {
      const run = queue.shift();
      if (run === undefined) return;
      running.set(run, firstTokenAt(run));
      options.onStart(run);
      run.start();
    }
  }

  function stepTime(): Milliseconds {
    return times.tokenTime * (1 + BATCH_SLOWDOWN * (running.size - 1));
  }

  function stepAll(): void {
    const now = clock.now();
    for (const [run, readyAt] of running) {
      if (readyAt <= now) run.step();
      if (run.state() === 'finished') running.delete(run);
    }
    admit();
    options.onChange();
  }

  async function stepWhileRunning(): Promise<void> {
    let stepDueAt = clock.now();
    while (running.size > 0) {
      // The next step catches up after a late timer, but not after a long
      // pause.
      stepDueAt = Math.max(stepDueAt + stepTime(), clock.now() - stepTime());
      await clock.wait(Math.max(0, stepDueAt - clock.now()));
      await freezer.whenUnfrozen();
      stepAll();
    }
    stepping = false;
  }

  return {
    submit: run => {
      if (running.size >= slots && queue.length >= queueLimit) return false;
      const {priority} = run.generation;
      const insertIndex = queue.findIndex(
        other => other.generation.priority > priority,
      );
      queue.splice(insertIndex < 0 ? queue.length : insertIndex, 0, run);
      admit();
      options.onChange();
      if (!stepping) {
        stepping = true;
        void stepWhileRunning();
      }
      return true;
    },
    remove: run => {
      running.delete(run);
      queue = queue.filter(other => other !== run);
      admit();
      options.onChange();
    },
    setTimes: changes => {
      times = {
        tokenTime: changes.tokenTime ?? times.tokenTime,
        firstTokenTime: changes.firstTokenTime ?? times.firstTokenTime,
      };
    },
    load: () => ({running: running.size, queued: queue.length}),
  };
}
