import type {Milliseconds, MonotonicInstant} from '../types';

/**
 * Number of pauses for the median. A pause of a second after its engine was
 * frozen must not affect it.
 */
const WINDOW = 5;

/** Pauses required before a stream's end is estimated. */
const MIN_PAUSES = 3;

/**
 * Factor by which the rest of a stream must exceed the time to its deadline to
 * be moved, and by which it must be shorter elsewhere.
 */
const MARGIN = 1.15;

/** Pauses between the events of a stream at one engine. */
export interface EventPauses {
  readonly record: (now: MonotonicInstant) => void;
  /** Undefined until there are enough pauses. */
  readonly median: () => Milliseconds | undefined;
}

/** Creates an empty tracker for a new stream. */
export function createEventPauses(): EventPauses {
  let last: MonotonicInstant | undefined;
  let pauses: readonly Milliseconds[] = [];
  return {
    record: now => {
      if (last !== undefined) pauses = [...pauses, now - last].slice(-WINDOW);
      last = now;
    },
    median: () => {
      if (pauses.length < MIN_PAUSES) return undefined;
      const sorted = [...pauses].sort((one, other) => one - other);
      return sorted[Math.floor(sorted.length / 2)];
    },
  };
}

/** The rest of a stream. */
export interface RemainingStream {
  readonly events: number;
  /** Pause between two events at its current engine. */
  readonly pause: Milliseconds;
  /** Pause between two events at an engine of typical pace. */
  readonly typicalPause: Milliseconds;
  /** Time until its caller's deadline. */
  readonly timeLeft: Milliseconds;
}

/**
 * Returns the time that a move saves; undefined if the stream ends in time
 * where it is. Without moves, a stream that begins in time at an engine that is
 * five times slower is cut off at its caller's deadline with half of its
 * events.
 */
export function timeSavedByMove(
  rest: RemainingStream,
): Milliseconds | undefined {
  const here = rest.events * rest.pause;
  if (!(here > rest.timeLeft * MARGIN)) return undefined;
  return here - rest.events * rest.typicalPause;
}

/**
 * Whether a stream that restarts elsewhere, with its first event after `first`,
 * ends in time.
 */
export function endsInTime(
  rest: RemainingStream,
  first: Milliseconds,
): boolean {
  return (first + rest.events * rest.typicalPause) * MARGIN < rest.timeLeft;
}
