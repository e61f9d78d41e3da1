import type {AttemptId} from '../../types';

/**
 * The parts of an attempt's identifier: who created it, and a sequence number.
 */
export interface AttemptParts {
  /** One incarnation of one entry; never reused by another. */
  readonly sender: string;
  /** Increases with each attempt that the sender creates. */
  readonly sequence: number;
}

const SEPARATOR = '#';

/** Formats an attempt's identifier. */
export function formatAttempt(parts: AttemptParts): AttemptId {
  return `${parts.sender}${SEPARATOR}${parts.sequence}`;
}

/** Parses an attempt's identifier; `undefined` if it is malformed. */
export function parseAttempt(attempt: AttemptId): AttemptParts | undefined {
  const at = attempt.lastIndexOf(SEPARATOR);
  if (at <= 0) return undefined;
  const digits = attempt.slice(at + 1);
  if (!/^(0|[1-9][0-9]{0,15})$/.test(digits)) return undefined;
  const sequence = Number(digits);
  if (!Number.isSafeInteger(sequence)) return undefined;
  return {sender: attempt.slice(0, at), sequence};
}

/**
 * Creates unique attempts for one incarnation of an entry. `sender` must never
 * be used by another: it is the entry's instance name with a random part.
 */
export function createAttemptSource(sender: string): () => AttemptId {
  let sequence = 0;
  return () => {
    sequence += 1;
    return formatAttempt({sender, sequence});
  };
}
