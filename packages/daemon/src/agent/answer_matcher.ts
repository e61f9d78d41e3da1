import type {AttemptId} from '@hibiscusbeam/core';

/** Delivers each part of an answer to the attempt that it names. */
export interface AnswerMatcher<Part> {
  /** Registers an attempt until the returned function is called. */
  readonly expect: (
    attempt: AttemptId,
    onPart: (part: Part) => void,
  ) => () => void;
  /** False if the attempt is not registered; the part is dropped. */
  readonly deliver: (attempt: AttemptId, part: Part) => boolean;
  readonly expected: () => number;
}

/**
 * Matches answers by attempt, never by connection or order: a target may send
 * one caller's answer on another caller's connection, and each caller would
 * then get confidential content of the other.
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
