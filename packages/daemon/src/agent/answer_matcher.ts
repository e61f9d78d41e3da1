import type {AttemptId} from '@hibiscusbeam/core';

/** Passes what a target sends to the attempt that it names. */
export interface AnswerMatcher<Part> {
  /** Registers an attempt until the returned function is called. */
  readonly expect: (
    attempt: AttemptId,
    onPart: (part: Part) => void,
  ) => () => void;
  /** False if nobody waits for the attempt: the part is dropped. */
  readonly deliver: (attempt: AttemptId, part: Part) => boolean;
  readonly expected: () => number;
}

/**
 * Matches answers by attempt, never by connection or order: a target may send
 * one caller's answer on another's connection, and each would then be shown
 * somebody else's credit summary.
 */
export function createAnswerMatcher<Part>(): AnswerMatcher<Part> {
  const waiting = new Map<AttemptId, (part: Part) => void>();
  return {
    expect: (attempt, onPart) => {
      waiting.set(attempt, onPart);
      return () => void waiting.delete(attempt);
    },
    deliver: (attempt, part) => {
      const onPart = waiting.get(attempt);
      onPart?.(part);
      return onPart !== undefined;
    },
    expected: () => waiting.size,
  };
}
