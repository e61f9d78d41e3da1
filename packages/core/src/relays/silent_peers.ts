import type {Milliseconds, MonotonicInstant} from '../types';

/**
 * How long a process that fell silent is skipped. With a shorter time, each
 * check of a lost machine would cost its caller a timeout; a frozen machine
 * resumes within seconds.
 */
const SKIP_DURATION: Milliseconds = 5_000;

/** Tracks which processes have recently not answered, by incarnation. */
export interface SilentPeers {
  readonly record: (life: string, now: MonotonicInstant) => void;
  /** Lets a process be queried again before its time has passed. */
  readonly forget: (life: string) => void;
  readonly isSilent: (life: string, now: MonotonicInstant) => boolean;
}

/**
 * Creates a tracker. Nothing reports that a process answers again: it is
 * queried again once the time has passed.
 */
export function createSilentPeers(): SilentPeers {
  const silentSince = new Map<string, MonotonicInstant>();

  return {
    record: (life, now) => void silentSince.set(life, now),
    forget: life => void silentSince.delete(life),
    isSilent: (life, now) => {
      const since = silentSince.get(life);
      if (since === undefined) return false;
      if (now - since < SKIP_DURATION) return true;
      silentSince.delete(life);
      return false;
    },
  };
}
