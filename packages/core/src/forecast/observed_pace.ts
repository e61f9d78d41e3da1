import type {Milliseconds, MonotonicInstant} from '../types';

/** Memory of the fast estimate: slow periods last for half a second and more. */
const FAST_DECAY_TIME: Milliseconds = 500;

/** Memory of the usual value, for engines that are slow for good. */
const SLOW_DECAY_TIME: Milliseconds = 30_000;

/**
 * Answers at the profile's pace that an estimate begins with. A single first
 * event differs from its forecast by a third without any fault of its engine.
 */
const FAST_PRIOR = 2;
const SLOW_PRIOR = 8;

/** Bounds of one answer's ratio: a frozen engine is the silence watch's matter. */
const MIN_RATIO = 0.25;
const MAX_RATIO = 8;

/** What an entry has seen of the first events of one engine. */
export interface ObservedPace {
  /** Notes that a first event took `ratio` times its forecast. */
  readonly record: (ratio: number, now: MonotonicInstant) => void;
  /** The natural logarithm of the pace; fades to 0 with its age. */
  readonly logPace: (now: MonotonicInstant) => number;
}

/** Creates the estimates of one engine's life. */
export function createObservedPace(): ObservedPace {
  const fast = createEstimate(FAST_DECAY_TIME, FAST_PRIOR);
  const slow = createEstimate(SLOW_DECAY_TIME, SLOW_PRIOR);
  return {
    record: (ratio, now) => {
      const bounded = Math.min(MAX_RATIO, Math.max(MIN_RATIO, ratio));
      if (!Number.isFinite(bounded)) return;
      const usual = slow.value(now);
      slow.record(Math.log(bounded), now);
      fast.record(Math.log(bounded) - usual, now);
    },
    logPace: now => slow.value(now) + fast.value(now),
  };
}

/** A mean that forgets, and begins with `prior` values of 0. */
function createEstimate(memory: Milliseconds, prior: number) {
  let sum = 0;
  let weight = 0;
  let at: MonotonicInstant = -Infinity;

  /** A clock that jumps back must not let old values grow. */
  const kept = (now: MonotonicInstant): number =>
    weight === 0 ? 0 : Math.exp(-Math.max(0, now - at) / memory);

  return {
    record: (value: number, now: MonotonicInstant): void => {
      const share = kept(now);
      sum = sum * share + value;
      weight = weight * share + 1;
      at = now;
    },
    value: (now: MonotonicInstant): number => {
      if (weight === 0) return 0;
      const share = kept(now);
      return (sum * share) / (weight * share + prior);
    },
  };
}
