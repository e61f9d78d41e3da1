import type {Milliseconds, MonotonicInstant} from '../types';

/**
 * How long a process that fell silent is passed over. Shorter, and each look at a
 * lost machine costs its asker a silence; a frozen one wakes within seconds.
 */
const SKIP_DURATION: Milliseconds = 5_000;

/** Remembers which processes have lately not answered, by their lives. */
export interface SilentPeers {
  readonly record: (life: string, now: MonotonicInstant) => void;
  readonly isSilent: (life: string, now: MonotonicInstant) => boolean;
}

/** Creates the memory; what a process says again it says to whoever asks it. */
export function createSilentPeers(): SilentPeers {
  const silentSince = new Map<string, MonotonicInstant>();

  return {
    record: (life, now) => void silentSince.set(life, now),
    isSilent: (life, now) => {
      const since = silentSince.get(life);
      if (since === undefined) return false;
      if (now - since < SKIP_DURATION) return true;
      silentSince.delete(life);
      return false;
    },
  };
}
