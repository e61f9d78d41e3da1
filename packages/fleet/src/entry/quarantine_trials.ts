import type {
  Milliseconds,
  MonotonicInstant,
  RequestFingerprint,
} from '@hibiscusbeam/core';
import type {Clock, Log} from '@hibiscusbeam/daemon';
import type {QuarantineTable} from '../ports';

/** Time in which targets that were lost together are back. */
const TRIAL_DELAY: Milliseconds = 10_000;

/** Pause named to callers once the site's one trial is taken. */
const RETRY_AFTER_TRIAL: Milliseconds = 30_000;

/** Longest wait for the store; the caller waits with it. */
const CLAIM_TIMEOUT: Milliseconds = 300;

/** Requests whose state is remembered. */
const MAX_REMEMBERED = 2_000;

/** What claiming trials needs. */
export interface QuarantineTrialsOptions {
  readonly table: QuarantineTable;
  /** Names the life of this process. */
  readonly holder: string;
  readonly clock: Clock;
  readonly log: Log;
}

/** The one trial that each quarantined request has on the site. */
export interface QuarantineTrials {
  /** Claims the trial; whether this request may be sent once. */
  readonly claim: (fingerprint: RequestFingerprint) => Promise<boolean>;
  /** Gives a trial back that was not used. */
  readonly release: (fingerprint: RequestFingerprint) => void;
  /** When the caller of a refused request may come back. */
  readonly retryAfter: (fingerprint: RequestFingerprint) => Milliseconds;
  /** Claims anew what this entry holds, after a restore of the store. */
  readonly reclaim: () => void;
  /** Forgets a request that is released. */
  readonly forget: (fingerprint: RequestFingerprint) => void;
}

interface KnownTrial {
  readonly dueAt: MonotonicInstant;
  isTaken: boolean;
  /** Whether this entry has taken it. */
  isOwn: boolean;
}

/**
 * Creates the claims of one entry. A request that shared its targets with an
 * outage would stay quarantined for good, since only a whole answer releases it;
 * the store's row sees to it that the whole site tries it once.
 */
export function createQuarantineTrials(
  options: QuarantineTrialsOptions,
): QuarantineTrials {
  const {table, holder, clock, log} = options;
  const trials = new Map<RequestFingerprint, KnownTrial>();

  function trialOf(fingerprint: RequestFingerprint): KnownTrial {
    const known = trials.get(fingerprint);
    if (known !== undefined) return known;
    const trial = {dueAt: clock() + TRIAL_DELAY, isTaken: false, isOwn: false};
    trials.set(fingerprint, trial);
    const [oldest] = trials.keys();
    if (trials.size > MAX_REMEMBERED && oldest !== undefined) {
      trials.delete(oldest);
    }
    return trial;
  }

  async function claim(fingerprint: RequestFingerprint): Promise<boolean> {
    const trial = trialOf(fingerprint);
    if (trial.isTaken || clock() < trial.dueAt) return false;
    trial.isTaken = true;
    const claimed = await table.claimTrial(fingerprint, holder, CLAIM_TIMEOUT);
    if (claimed.ok) {
      trial.isOwn = claimed.val;
      log.info('trial of a quarantined request', {
        fingerprint,
        isClaimed: claimed.val,
      });
      return claimed.val;
    }
    log.warn('trial not claimed', {fingerprint, error: claimed.val});
    // Without an answer the row may have been written: then nobody tries it.
    trial.isTaken = claimed.val.kind === 'noAnswer';
    return false;
  }

  async function reclaim(fingerprint: RequestFingerprint): Promise<void> {
    const claimed = await table.claimTrial(fingerprint, holder, CLAIM_TIMEOUT);
    if (claimed.ok) return;
    log.warn('trial not claimed again', {fingerprint, error: claimed.val});
  }

  async function release(fingerprint: RequestFingerprint): Promise<void> {
    const removed = await table.removeTrial(fingerprint, CLAIM_TIMEOUT);
    if (removed.ok) trials.delete(fingerprint);
    else log.warn('trial not given back', {fingerprint, error: removed.val});
  }

  return {
    claim,
    reclaim: () => {
      for (const [fingerprint, {isOwn}] of trials) {
        if (isOwn) void reclaim(fingerprint);
      }
    },
    release: fingerprint => void release(fingerprint),
    retryAfter: fingerprint => {
      const {dueAt, isTaken} = trialOf(fingerprint);
      return isTaken ? RETRY_AFTER_TRIAL : Math.max(1, dueAt - clock());
    },
    forget: fingerprint => {
      const trial = trials.get(fingerprint);
      trials.delete(fingerprint);
      if (trial?.isTaken === true) void release(fingerprint);
    },
  };
}
