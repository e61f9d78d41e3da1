import type {AttemptId} from '../../types';
import {parseAttempt, type AttemptParts} from '../queries/attempt_id';

/** `closed`: refused or tombstoned, so never started. */
export type FinalState = 'closed' | 'finished';

/** What an agent knows of one attempt. */
export type AttemptState =
  | 'running'
  | FinalState
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
  readonly ended: (attempt: AttemptId, as: FinalState) => boolean;
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
  const finalStates = new Map<AttemptId, FinalState>();
  /** By sender: the highest sequence that may have been forgotten. */
  const forgottenSequences = new Map<string, number>();

  function addSender({sender}: AttemptParts): void {
    if (!forgottenSequences.has(sender)) forgottenSequences.set(sender, 0);
  }

  function recordFinalState(attempt: AttemptId, state: FinalState): void {
    finalStates.set(attempt, state);
    for (const [oldest] of finalStates) {
      if (finalStates.size <= bounds.maximumRecords) return;
      forget(oldest);
    }
  }

  function forget(attempt: AttemptId): void {
    finalStates.delete(attempt);
    onForget(attempt);
    const parts = parseAttempt(attempt);
    if (parts === undefined) return;
    const forgottenSequence = forgottenSequences.get(parts.sender) ?? 0;
    forgottenSequences.set(
      parts.sender,
      Math.max(forgottenSequence, parts.sequence),
    );
  }

  return {
    stateOf(attempt, parts) {
      if (running.has(attempt)) return 'running';
      const state = finalStates.get(attempt);
      if (state !== undefined) return state;
      const forgottenSequence = forgottenSequences.get(parts.sender);
      if (forgottenSequence === undefined) {
        // Once full, it stays full: an unknown sender's attempts never start.
        return forgottenSequences.size < bounds.maximumSenders
          ? 'unseen'
          : 'barred';
      }
      // A record that was dropped may have been of a run: started again by a
      // late second copy of its dispatch, the call would run twice.
      if (parts.sequence <= forgottenSequence) return 'forgotten';
      return 'unseen';
    },
    started(attempt, parts) {
      addSender(parts);
      running.add(attempt);
    },
    close(attempt, parts) {
      addSender(parts);
      recordFinalState(attempt, 'closed');
    },
    ended(attempt, as) {
      if (!running.delete(attempt)) return false;
      recordFinalState(attempt, as);
      return true;
    },
    sizes: () => ({
      running: running.size,
      records: finalStates.size,
      senders: forgottenSequences.size,
    }),
  };
}
