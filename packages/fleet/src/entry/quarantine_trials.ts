import type {Milliseconds, MonotonicInstant, Suspect} from '@hibiscusbeam/core';
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

/** Suspects whose state is remembered. */
const MAX_REMEMBERED = 2_000;

/** Dependencies of the quarantine trials. */
export interface QuarantineTrialsOptions {
  readonly table: QuarantineTable;
  /** Identifies the incarnation of this process. */
  readonly holder: string;
  readonly clock: Clock;
  readonly log: Log;
}

/** The single trial that each quarantined suspect has on the site. */
export interface QuarantineTrials {
  /**
   * Claims the trial; resolves to whether one request with the suspect may be
   * sent once.
   */
  readonly claim: (suspect: Suspect) => Promise<boolean>;
  /** Releases a trial that was not used. */
  readonly release: (suspect: Suspect) => void;
  /** Retry-After for the caller of a refused request. */
  readonly retryAfter: (suspect: Suspect) => Milliseconds;
  /** Claims the trials of this entry again, after the store was restored. */
  readonly reclaim: () => void;
  /** Forgets a suspect that is no longer quarantined. */
  readonly forget: (suspect: Suspect) => void;
}

interface KnownTrial {
  readonly dueAt: MonotonicInstant;
  isTaken: boolean;
  /** Whether this entry holds the trial. */
  isOwn: boolean;
}

/**
 * Creates the trials of one entry. A suspect whose targets failed for another
 * reason would stay quarantined forever, since only an answer releases it. A row in the store ensures that the whole site
 * tries it once.
 */
export function createQuarantineTrials(
  options: QuarantineTrialsOptions,
): QuarantineTrials {
  const {table, holder, clock, log} = options;
  const trials = new Map<Suspect, KnownTrial>();

  function trialOf(suspect: Suspect): KnownTrial {
    const known = trials.get(suspect);
    if (known !== undefined) return known;
    const trial = {dueAt: clock() + TRIAL_DELAY, isTaken: false, isOwn: false};
    trials.set(suspect, trial);
    const [oldest] = trials.keys();
    if (trials.size > MAX_REMEMBERED && oldest !== undefined) {
      trials.delete(oldest);
    }
    return trial;
  }

  async function claim(suspect: Suspect): Promise<boolean> {
    const trial = trialOf(suspect);
    if (trial.isTaken || clock() < trial.dueAt) return false;
    trial.isTaken = true;
    const claimed = await table.claimTrial(suspect, holder, CLAIM_TIMEOUT);
    if (claimed.ok) {
      trial.isOwn = claimed.val;
      log.info('trial of a quarantined suspect', {
        suspect,
        isClaimed: claimed.val,
      });
      return claimed.val;
    }
    log.warn('failed to claim a trial', {suspect, error: claimed.val});
    // Without an answer the row may have been written: then no entry tries the
    // suspect.
    trial.isTaken = claimed.val.kind === 'noAnswer';
    return false;
  }

  async function reclaim(suspect: Suspect): Promise<void> {
    const claimed = await table.claimTrial(suspect, holder, CLAIM_TIMEOUT);
    if (claimed.ok) return;
    log.warn('failed to claim a trial again', {
      suspect,
      error: claimed.val,
    });
  }

  async function release(suspect: Suspect): Promise<void> {
    const removed = await table.removeTrial(suspect, CLAIM_TIMEOUT);
    if (removed.ok) trials.delete(suspect);
    else log.warn('trial not released', {suspect, error: removed.val});
  }

  return {
    claim,
    reclaim: () => {
      for (const [suspect, {isOwn}] of trials) {
        if (isOwn) void reclaim(suspect);
      }
    },
    release: suspect => void release(suspect),
    retryAfter: suspect => {
      const {dueAt, isTaken} = trialOf(suspect);
      return isTaken ? RETRY_AFTER_TRIAL : Math.max(1, dueAt - clock());
    },
    forget: suspect => {
      const trial = trials.get(suspect);
      trials.delete(suspect);
      if (trial?.isTaken === true) void release(suspect);
    },
  };
}
