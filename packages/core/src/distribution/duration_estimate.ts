import type {Milliseconds} from '../types';

/** Smoothing factors as in TCP's retransmission timer (RFC 6298). */
const MEAN_GAIN = 1 / 8;
const DEVIATION_GAIN = 1 / 4;
const DEVIATIONS = 4;

/**
 * Estimates a duration from samples, with an upper bound that few samples
 * exceed.
 */
export interface DurationEstimate {
  readonly addSample: (sample: Milliseconds) => void;
  /** Smoothed mean; undefined before the first sample. */
  readonly mean: () => Milliseconds | undefined;
  /** Mean plus four deviations, clamped to the limits. */
  readonly bound: () => Milliseconds;
}

/** Creates an estimate whose bound is `first` until a sample is added. */
export function createDurationEstimate(limits: {
  readonly first: Milliseconds;
  readonly shortest: Milliseconds;
  readonly longest: Milliseconds;
}): DurationEstimate {
  let mean: number | undefined;
  let deviation = 0;
  return {
    addSample(sample) {
      if (mean === undefined) {
        mean = sample;
        deviation = sample / 2;
        return;
      }
      deviation += DEVIATION_GAIN * (Math.abs(sample - mean) - deviation);
      mean += MEAN_GAIN * (sample - mean);
    },
    mean: () => mean,
    bound() {
      if (mean === undefined) return limits.first;
      const bound = mean + DEVIATIONS * deviation;
      return Math.min(limits.longest, Math.max(limits.shortest, bound));
    },
  };
}
