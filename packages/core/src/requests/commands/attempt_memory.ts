import type {AttemptId} from '../../types';
import {parseAttempt, type AttemptParts} from '../queries/attempt_id';

/** `closed`: refused or tombstoned, so never started. */
export type FinalState = 'closed' | 'finished';

/** What an agent knows about one attempt. */
export type AttemptState =
  | 'running'
  | FinalState
  | 'unseen'
  /** May have run, its record was dropped: never starts. */
  | 'forgotten'
  /** Never seen, and there is no room to record it: never starts. */
  | 'barred';

/** Bounds of an {@link AttemptMemory}. */
export interface AttemptMemoryBounds {
  /** Maximum number of attempts remembered besides the running ones. */
  readonly maximumRecords: number;
  /** Maximum number of entry incarnations that may send attempts. */
  readonly maximumSenders: number;
}

/** The attempts recorded by one incarnation of an agent. */
export interface AttemptMemory {
  readonly stateOf: (attempt: AttemptId, parts: AttemptParts) => AttemptState;
  /** Records a start; must be called before the work is forwarded. */
  readonly started: (attempt: AttemptId, parts: AttemptParts) => void;
  /** Ensures that the attempt never starts. */
  readonly close: (attempt: AttemptId, parts: AttemptParts) => void;
  /** Records how a running attempt ended; `false` if it was not running. */
  readonly ended: (attempt: AttemptId, as: FinalState) => boolean;
  readonly sizes: () => {
    readonly running: number;
    readonly records: number;
    readonly senders: number;
  };
}

/**
 * Creates the memory. Its size is bounded: dropping a record raises its
 * sender's forgotten sequence to at least the record's, and no attempt at or
 * below that sequence ever starts. Senders are never forgotten, but their
 * number is limited. So a forgotten attempt can't start again, independently of
 * any clock.
 */
export function createAttemptMemory(
  bounds: AttemptMemoryBounds,
  onForget: (attempt: AttemptId) => void,
): AttemptMemory {
  const running = new Set<AttemptId>();
  const finalStates = new Map<AttemptId, FinalState>();
  /** By sender: the highest sequence whose record may have been dropped. */
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
        // Senders are never removed, so attempts of unknown senders never start
        // from here on.
        return forgottenSequences.size < bounds.maximumSenders
          ? 'unseen'
          : 'barred';
      }
      // The dropped record may have been of an attempt that ran. If a late
      // duplicate of its dispatch started it again, the call would run twice.
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
