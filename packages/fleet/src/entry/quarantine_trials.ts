import type {
  Milliseconds,
  MonotonicInstant,
  RequestFingerprint,
} from '@hibiscusbeam/core';
import type {Clock, Log} from '@hibiscusbeam/daemon';
import type {QuarantineTable} from '../ports';

/**
 * Delay before a trial, in which targets that were lost together have
 * recovered.
 */
const TRIAL_DELAY: Milliseconds = 10_000;

/** Retry-After once the site's only trial is taken. */
const RETRY_AFTER_TRIAL: Milliseconds = 30_000;

/** Timeout of store calls; the caller waits for them. */
const CLAIM_TIMEOUT: Milliseconds = 300;

/** Requests whose state is remembered. */
const MAX_REMEMBERED = 2_000;

/** Dependencies of the quarantine trials. */
export interface QuarantineTrialsOptions {
  readonly table: QuarantineTable;
  /** Identifies the incarnation of this process. */
  readonly holder: string;
  readonly clock: Clock;
  readonly log: Log;
}

/** The single trial that each quarantined request has on the site. */
export interface QuarantineTrials {
  /** Claims the trial; resolves to whether this request may be sent once. */
  readonly claim: (fingerprint: RequestFingerprint) => Promise<boolean>;
  /** Releases a trial that was not used. */
  readonly release: (fingerprint: RequestFingerprint) => void;
  /** Retry-After for the caller of a refused request. */
  readonly retryAfter: (fingerprint: RequestFingerprint) => Milliseconds;
  /** Claims the trials of this entry again, after the store was restored. */
  readonly reclaim: () => void;
  /** Forgets a request that is no longer quarantined. */
  readonly forget: (fingerprint: RequestFingerprint) => void;
}

interface KnownTrial {
  readonly dueAt: MonotonicInstant;
  isTaken: boolean;
  /** Whether this entry holds the trial. */
  isOwn: boolean;
}

/**
 * Creates the trials of one entry. A request that was running when its targets
 * failed for another reason would stay quarantined forever, since only a
 * complete answer releases it. A row in the store ensures that the whole site
 * tries it once.
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
    log.warn('failed to claim a trial', {fingerprint, error: claimed.val});
    // Without an answer the row may have been written: then no entry tries the
    // request.
    trial.isTaken = claimed.val.kind === 'noAnswer';
    return false;
  }

  async function reclaim(fingerprint: RequestFingerprint): Promise<void> {
    const claimed = await table.claimTrial(fingerprint, holder, CLAIM_TIMEOUT);
    if (claimed.ok) return;
    log.warn('failed to claim a trial again', {
      fingerprint,
      error: claimed.val,
    });
  }

  async function release(fingerprint: RequestFingerprint): Promise<void> {
    const removed = await table.removeTrial(fingerprint, CLAIM_TIMEOUT);
    if (removed.ok) trials.delete(fingerprint);
    else log.warn('trial not released', {fingerprint, error: removed.val});
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
