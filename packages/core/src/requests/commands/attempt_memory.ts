import type {AttemptId} from '../../types';
import {parseAttempt, type AttemptParts} from '../queries/attempt_id';

/** `closed`: refused or tombstoned, so never started. */
export type SettledState = 'closed' | 'finished';

/** What an agent knows of one attempt. */
export type AttemptState =
  | 'running'
  | SettledState
  | 'unseen'
  /** May have run and be forgotten; never starts. */
  | 'forgotten'
  /** Never seen, and no room to remember it: never starts. */
  | 'barred';

/** Bounds of an {@link AttemptMemory}. */
export interface AttemptMemoryBounds {
  /** Most attempts remembered besides those that run. */
  readonly maximumRecords: number;
  /** Most lives of entries that may send attempts to this life. */
  readonly maximumSenders: number;
}

/** Attempts as one life of an agent remembers them. */
export interface AttemptMemory {
  readonly stateOf: (attempt: AttemptId, parts: AttemptParts) => AttemptState;
  /** Records a start; to be called before the work is passed on. */
  readonly started: (attempt: AttemptId, parts: AttemptParts) => void;
  /** Makes sure that the attempt never starts. */
  readonly close: (attempt: AttemptId, parts: AttemptParts) => void;
  /** Notes how a running attempt ended; `false` if it was not running. */
  readonly ended: (attempt: AttemptId, as: SettledState) => boolean;
  readonly sizes: () => {
    readonly running: number;
    readonly records: number;
    readonly senders: number;
  };
}

/**
 * Creates the memory. It is bounded: a record may be forgotten only once its
 * sender's mark has reached its sequence, and nothing at or below the mark
 * ever starts; senders are never forgotten but limited in number. So a
 * forgotten attempt can't start again, whatever the clocks say.
 */
export function createAttemptMemory(
  bounds: AttemptMemoryBounds,
  onForget: (attempt: AttemptId) => void,
): AttemptMemory {
  const running = new Set<AttemptId>();
  const settled = new Map<AttemptId, SettledState>();
  /** By sender: the highest sequence that may have been forgotten. */
  const marks = new Map<string, number>();

  function remember({sender}: AttemptParts): void {
    if (!marks.has(sender)) marks.set(sender, 0);
  }

  function settle(attempt: AttemptId, state: SettledState): void {
    settled.set(attempt, state);
    for (const [oldest] of settled) {
      if (settled.size <= bounds.maximumRecords) return;
      forget(oldest);
    }
  }

  function forget(attempt: AttemptId): void {
    settled.delete(attempt);
    onForget(attempt);
    const parts = parseAttempt(attempt);
    if (parts === undefined) return;
    const mark = marks.get(parts.sender) ?? 0;
    marks.set(parts.sender, Math.max(mark, parts.sequence));
  }

  return {
    stateOf(attempt, parts) {
      if (running.has(attempt)) return 'running';
      const state = settled.get(attempt);
      if (state !== undefined) return state;
      const mark = marks.get(parts.sender);
      if (mark === undefined) {
        // Once full, it stays full: an unknown sender's attempts never start.
        return marks.size < bounds.maximumSenders ? 'unseen' : 'barred';
      }
      // A record that was dropped may have been of a run: started again by a
      // late second copy of its dispatch, the call would run twice.
      if (parts.sequence <= mark) return 'forgotten';
      return 'unseen';
    },
    started(attempt, parts) {
      remember(parts);
      running.add(attempt);
    },
    close(attempt, parts) {
      remember(parts);
      settle(attempt, 'closed');
    },
    ended(attempt, as) {
      if (!running.delete(attempt)) return false;
      settle(attempt, as);
      return true;
    },
    sizes: () => ({
      running: running.size,
      records: settled.size,
      senders: marks.size,
    }),
  };
}
