import type {Milliseconds, Suspect} from '@hibiscusbeam/core';
import type {RequestRunOptions} from './request_context';

/** Whether one request may be sent although it is quarantined. */
export interface RequestTrial {
  /** Whether it may be sent nowhere, or only as a trial. */
  readonly isQuarantined: () => boolean;
  /**
   * Claims the trials of all its quarantined suspects; resolves to whether it
   * may be sent.
   */
  readonly claim: () => Promise<boolean>;
  readonly isHeld: () => boolean;
  /** Records that a target may have run the request. */
  readonly recordRun: () => void;
  /** Releases trials that were claimed and not used. */
  readonly release: () => void;
  /** Retry-After if it is refused. */
  readonly retryAfter: () => Milliseconds;
  /** Calls `listener` when it is quarantined, until stopped. */
  readonly onQuarantined: (listener: () => void) => () => void;
}

/** Creates the trial of a request with these suspects. */
export function createRequestTrial(
  options: Pick<RequestRunOptions, 'quarantine' | 'trials' | 'onQuarantined'>,
  suspects: readonly Suspect[],
): RequestTrial {
  const {quarantine, trials} = options;
  let state: 'none' | 'held' | 'used' = 'none';
  let claimed: readonly Suspect[] = [];

  function quarantined(): readonly Suspect[] {
    return suspects.filter(quarantine.isQuarantined);
  }

  async function claimAll(): Promise<boolean> {
    for (const suspect of quarantined()) {
      if (!(await trials.claim(suspect))) {
        releaseClaimed();
        return false;
      }
      claimed = [...claimed, suspect];
    }
    return true;
  }

  function releaseClaimed(): void {
    claimed.forEach(trials.release);
    claimed = [];
  }

  return {
    isQuarantined: () => quarantined().length > 0,
    claim: async () => {
      if (state === 'none' && (await claimAll())) state = 'held';
      return state === 'held';
    },
    isHeld: () => state === 'held',
    recordRun: () => {
      if (state === 'held') state = 'used';
    },
    release: () => {
      if (state === 'held') releaseClaimed();
    },
    retryAfter: () => Math.max(1, ...quarantined().map(trials.retryAfter)),
    onQuarantined: listener =>
      options.onQuarantined(suspect => {
        if (suspects.includes(suspect) && state !== 'held') listener();
      }),
  };
}
