import type {Milliseconds, MonotonicInstant} from '../types';

/**
 * Pauses of which the median counts: a pause of a second, after its engine was
 * frozen, says nothing of the pauses that follow.
 */
const PAUSES = 5;

/** Pauses seen before a stream's end is judged. */
const MIN_PAUSES = 3;

/**
 * Times that the rest of a stream must exceed what is left to its deadline, and
 * that the rest elsewhere must stay below it.
 */
const MARGIN = 1.15;

/** The pauses between the events of a stream at one engine. */
export interface EventPauses {
  readonly record: (now: MonotonicInstant) => void;
  /** Undefined until enough were seen. */
  readonly median: () => Milliseconds | undefined;
}

/** Creates the pauses of a stream that begins. */
export function createEventPauses(): EventPauses {
  let last: MonotonicInstant | undefined;
  let pauses: readonly Milliseconds[] = [];
  return {
    record: now => {
      if (last !== undefined) pauses = [...pauses, now - last].slice(-PAUSES);
      last = now;
    },
    median: () => {
      if (pauses.length < MIN_PAUSES) return undefined;
      const sorted = [...pauses].sort((one, other) => one - other);
      return sorted[Math.floor(sorted.length / 2)];
    },
  };
}

/** What is left of a stream. */
export interface RemainingStream {
  readonly events: number;
  /** Pause between two events where it runs. */
  readonly pause: Milliseconds;
  /** Pause between two events at an engine of the usual pace. */
  readonly typicalPause: Milliseconds;
  /** Time until its caller's deadline. */
  readonly timeLeft: Milliseconds;
}

/**
 * Time that a move saves; undefined if the stream ends in time where it is.
 *
 * Failure: a stream begins in time at an engine that is five times slower, and
 * is cut at its caller's deadline with half of its events.
 */
export function timeSavedByMove(
  rest: RemainingStream,
): Milliseconds | undefined {
  const here = rest.events * rest.pause;
  if (!(here > rest.timeLeft * MARGIN)) return undefined;
  return here - rest.events * rest.typicalPause;
}

/** Whether a stream that begins again elsewhere after `first` ends in time. */
export function endsInTime(
  rest: RemainingStream,
  first: Milliseconds,
): boolean {
  return (first + rest.events * rest.typicalPause) * MARGIN < rest.timeLeft;
}
