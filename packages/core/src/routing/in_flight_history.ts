import type {MonotonicInstant} from '../types';

const STEP_MILLISECONDS = 100;

/** Covers 12.8 s, more than the 5 s and more by which a report may be late. */
const STEP_COUNT = 128;

/** Counts of requests in flight over the recent past. */
export interface InFlightHistory {
  /** Records that `count` requests are in flight from `now` on. */
  readonly record: (count: number, now: MonotonicInstant) => void;
  /**
   * Returns the count at `instant`, to 100 ms; the oldest known if before that.
   */
  readonly countAt: (instant: MonotonicInstant) => number;
}

/** Creates an empty history of fixed size. */
export function createInFlightHistory(): InFlightHistory {
  const counts = new Int32Array(STEP_COUNT);
  let lastStep = -1;

  const record = (count: number, now: MonotonicInstant): void => {
    const step = Math.floor(now / STEP_MILLISECONDS);
    if (lastStep >= 0 && step > lastStep) fillGap(step);
    lastStep = Math.max(lastStep, step);
    counts[lastStep % STEP_COUNT] = count;
  };

  const fillGap = (step: number): void => {
    const previous = counts[lastStep % STEP_COUNT] ?? 0;
    const first = Math.max(lastStep + 1, step - STEP_COUNT + 1);
    for (let filled = first; filled <= step; filled += 1) {
      counts[filled % STEP_COUNT] = previous;
    }
  };

  const countAt = (instant: MonotonicInstant): number => {
    if (lastStep < 0) return 0;
    const step = Math.floor(instant / STEP_MILLISECONDS);
    const oldest = Math.max(0, lastStep - STEP_COUNT + 1);
    const known = Math.min(lastStep, Math.max(oldest, step));
    return counts[known % STEP_COUNT] ?? 0;
  };

  return {record, countAt};
}
