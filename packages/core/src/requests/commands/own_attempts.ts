import type {AttemptId, NotRunEvidence, NotRunReason} from '../../types';
import {createOwnAttempt, type OwnAttempt} from '../evidence';
import type {RequestResult} from '../types';
import {notRun, outcomeUnknown} from './call_results';

/** The attempts of one call, one after another, and what is proved of them. */
export interface OwnAttempts {
  /** Closes the latest attempt and mints the next. */
  readonly next: () => OwnAttempt;
  /** Notes proof that the latest attempt never ran. */
  readonly recordNotRun: (evidence: NotRunEvidence) => void;
  /** Notes why the latest attempt may have run. */
  readonly recordMayHaveRun: (detail: string) => void;
  /** `notRun` if every attempt is proved not to run, unknown otherwise. */
  readonly endNotRun: (
    reason: NotRunReason,
    retryAfter: number,
  ) => RequestResult;
}

/** Keeps account of a call's attempts. */
export function createOwnAttempts(createAttempt: () => AttemptId): OwnAttempts {
  let latest = createOwnAttempt(createAttempt());
  let proof: NotRunEvidence | undefined;
  let mayHaveRun: string | undefined;

  function closeLatest(): void {
    proof = latest.disown() ?? proof;
    // One attempt that may run makes "not run" a lie for the whole call.
    if (proof === undefined) mayHaveRun ??= 'an attempt may have run';
  }

  return {
    next() {
      closeLatest();
      proof = undefined;
      latest = createOwnAttempt(createAttempt());
      return latest;
    },
    recordNotRun(evidence) {
      proof = evidence;
    },
    recordMayHaveRun(detail) {
      mayHaveRun = detail;
    },
    endNotRun(reason, retryAfter) {
      closeLatest();
      if (mayHaveRun !== undefined) return outcomeUnknown(mayHaveRun);
      if (proof === undefined) return outcomeUnknown('no proof either way');
      return notRun(proof, reason, retryAfter);
    },
  };
}
