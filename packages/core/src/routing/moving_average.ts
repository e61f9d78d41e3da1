import {SAMPLE_WEIGHT} from './constants';

/** Exponentially weighted mean of samples. */
export interface MovingAverage {
  readonly add: (sample: number) => void;
  /** Returns the mean, or the initial value before any sample. */
  readonly value: () => number;
  readonly samples: () => number;
  readonly reset: () => void;
}

/** Creates an average that returns `initial` until the first sample. */
export function createMovingAverage(initial: number): MovingAverage {
  let mean = initial;
  let count = 0;
  return {
    add: sample => {
      count += 1;
      const weight = Math.max(SAMPLE_WEIGHT, 1 / count);
      mean += weight * (sample - mean);
    },
    value: () => mean,
    samples: () => count,
    reset: () => {
      mean = initial;
      count = 0;
    },
  };
}
