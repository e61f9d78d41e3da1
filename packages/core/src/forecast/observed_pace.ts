import type {Milliseconds, MonotonicInstant} from '../types';

/**
 * Decay time of the fast estimate: slow periods last half a second or longer.
 */
const FAST_DECAY_TIME: Milliseconds = 500;

/** Decay time of the slow estimate, for engines that are permanently slow. */
const SLOW_DECAY_TIME: Milliseconds = 30_000;

/**
 * Number of samples at the profile's pace that an estimate starts with. A
 * single first event differs from its forecast by a third without any fault of
 * its engine.
 */
const FAST_PRIOR = 2;
const SLOW_PRIOR = 8;

/**
 * Bounds of one sample's ratio. A frozen engine is detected by its silence
 * instead.
 */
const MIN_RATIO = 0.25;
const MAX_RATIO = 8;

/** The pace that an entry has observed from the first events of one engine. */
export interface ObservedPace {
  /** Records that a first event took `ratio` times its forecast. */
  readonly record: (ratio: number, now: MonotonicInstant) => void;
  /** Natural logarithm of the pace; decays to 0 with age. */
  readonly logPace: (now: MonotonicInstant) => number;
}

/** Creates the estimates for one incarnation of an engine. */
export function createObservedPace(): ObservedPace {
  const fast = createEstimate(FAST_DECAY_TIME, FAST_PRIOR);
  const slow = createEstimate(SLOW_DECAY_TIME, SLOW_PRIOR);
  return {
    record: (ratio, now) => {
      const bounded = Math.min(MAX_RATIO, Math.max(MIN_RATIO, ratio));
      if (!Number.isFinite(bounded)) return;
      const slowValue = slow.value(now);
      slow.record(Math.log(bounded), now);
      fast.record(Math.log(bounded) - slowValue, now);
    },
    logPace: now => slow.value(now) + fast.value(now),
  };
}

/** Creates a decaying mean that starts with `prior` values of 0. */
function createEstimate(decayTime: Milliseconds, prior: number) {
  let sum = 0;
  let weight = 0;
  let at: MonotonicInstant = -Infinity;

  /** A clock that jumps back must not increase the weight of old values. */
  const remainingShare = (now: MonotonicInstant): number =>
    weight === 0 ? 0 : Math.exp(-Math.max(0, now - at) / decayTime);

  return {
    record: (value: number, now: MonotonicInstant): void => {
      const share = remainingShare(now);
      sum = sum * share + value;
      weight = weight * share + 1;
      at = now;
    },
    value: (now: MonotonicInstant): number => {
      if (weight === 0) return 0;
      const share = remainingShare(now);
      return (sum * share) / (weight * share + prior);
    },
  };
}
