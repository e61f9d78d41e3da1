import type {EngineProfile} from '../routes';
import type {Milliseconds} from '../types';

const MILLISECONDS = 1_000;
const MILLION = 1_000_000;

/** Times that steps take longer beside the prompts of others; 60 ms for 42. */
const PREFILL_SLOWDOWN = 1.4;

/** Time in which an engine reads a prompt, with nothing before it. */
export function promptTime(
  profile: EngineProfile,
  tokens: number,
): Milliseconds {
  if (profile.prefillRate <= 0) return 0;
  const pairs = (tokens * tokens) / 2;
  return (
    (tokens * MILLISECONDS) / profile.prefillRate +
    (pairs / MILLION) * profile.timePerMillionPairs
  );
}

/** Time in which a busy engine writes an answer. */
export function generationTime(
  profile: EngineProfile,
  tokens: number,
): Milliseconds {
  const step = profile.stepTime + profile.slots * profile.stepTimePerRequest;
  return tokens * step * PREFILL_SLOWDOWN;
}
