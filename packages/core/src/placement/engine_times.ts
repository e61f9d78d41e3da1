import type {EngineProfile} from '../routes';
import type {Milliseconds} from '../types';

const MILLISECONDS_PER_SECOND = 1_000;
const MILLION = 1_000_000;

/** Factor by which other requests' prompts slow down steps; 60 ms for 42. */
const PREFILL_SLOWDOWN = 1.4;

/** Returns the time in which an idle engine reads a prompt. */
export function promptTime(
  profile: EngineProfile,
  tokens: number,
): Milliseconds {
  if (profile.prefillRate <= 0) return 0;
  const pairs = (tokens * tokens) / 2;
  return (
    (tokens * MILLISECONDS_PER_SECOND) / profile.prefillRate +
    (pairs / MILLION) * profile.timePerMillionPairs
  );
}

/** Returns the time in which a busy engine generates a response. */
export function generationTime(
  profile: EngineProfile,
  tokens: number,
): Milliseconds {
  const step = profile.stepTime + profile.slots * profile.stepTimePerRequest;
  return tokens * step * PREFILL_SLOWDOWN;
}
