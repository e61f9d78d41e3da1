import type {AttemptId} from '../../types';

/** An attempt's parts: who minted it and as its how-manieth. */
export interface AttemptParts {
  /** One life of one entry; never used again by another. */
  readonly sender: string;
  /** Rises with each attempt that the sender mints. */
  readonly sequence: number;
}

const SEPARATOR = '#';

/** Writes an attempt's identifier. */
export function formatAttempt(parts: AttemptParts): AttemptId {
  return `${parts.sender}${SEPARATOR}${parts.sequence}`;
}

/** Reads an attempt's parts; `undefined` if it is not well formed. */
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
 * Mints attempts for one life of an entry. `sender` must never be used by
 * another life: the entry's instance name with a random part.
 */
export function createAttemptSource(sender: string): () => AttemptId {
  let sequence = 0;
  return () => {
    sequence += 1;
    return formatAttempt({sender, sequence});
  };
}
