import type {
  AttemptId,
  Bytes,
  Milliseconds,
  MonotonicInstant,
} from '../../types';
import type {CompleteAnswer} from '../types';

/** Finished answers, kept for a bounded time and in bounded memory. */
export interface AnswerCache {
  readonly keep: (
    attempt: AttemptId,
    answer: CompleteAnswer,
    now: MonotonicInstant,
  ) => void;
  readonly get: (
    attempt: AttemptId,
    now: MonotonicInstant,
  ) => CompleteAnswer | undefined;
  readonly remove: (attempt: AttemptId) => void;
  readonly bytes: () => Bytes;
}

interface CachedAnswer {
  readonly answer: CompleteAnswer;
  readonly size: Bytes;
  readonly until: MonotonicInstant;
}

// Approximate memory per frame and per answer besides their content.
const FRAME_OVERHEAD_BYTES: Bytes = 96;
const ANSWER_OVERHEAD_BYTES: Bytes = 512;

function sizeOf(answer: CompleteAnswer): Bytes {
  return answer.frames.reduce(
    (sum, frame) => sum + frame.length + FRAME_OVERHEAD_BYTES,
    ANSWER_OVERHEAD_BYTES,
  );
}

/** Creates the cache; the oldest answers are evicted first. */
export function createAnswerCache(options: {
  readonly answerBytes: Bytes;
  readonly answerRetention: Milliseconds;
}): AnswerCache {
  const kept = new Map<AttemptId, CachedAnswer>();
  let bytes = 0;

  function remove(attempt: AttemptId): void {
    const found = kept.get(attempt);
    if (found === undefined) return;
    kept.delete(attempt);
    bytes -= found.size;
  }

  function evictExpired(now: MonotonicInstant): void {
    for (const [attempt, {until}] of kept) {
      if (until > now && bytes <= options.answerBytes) return;
      remove(attempt);
    }
  }

  return {
    keep(attempt, answer, now) {
      const size = sizeOf(answer);
      kept.set(attempt, {answer, size, until: now + options.answerRetention});
      bytes += size;
      evictExpired(now);
    },
    get(attempt, now) {
      evictExpired(now);
      return kept.get(attempt)?.answer;
    },
    remove,
    bytes: () => bytes,
  };
}
