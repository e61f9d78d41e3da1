import type {AttemptId, NotRunEvidence, NotRunReason} from '../../types';
import {createOwnAttempt, type OwnAttempt} from '../evidence';
import type {RequestResult} from '../types';
import {notRun, outcomeUnknown} from './call_results';

/** The successive attempts of one call and what is proved about them. */
export interface OwnAttempts {
  /** Closes the latest attempt and creates the next. */
  readonly next: () => OwnAttempt;
  /** Records proof that the latest attempt never ran. */
  readonly recordNotRun: (evidence: NotRunEvidence) => void;
  /** Records why the latest attempt may have run. */
  readonly recordMayHaveRun: (detail: string) => void;
  /** `notRun` if every attempt is proved not to run, otherwise unknown. */
  readonly endNotRun: (
    reason: NotRunReason,
    retryAfter: number,
  ) => RequestResult;
}

/** Tracks the attempts of one call. */
export function createOwnAttempts(createAttempt: () => AttemptId): OwnAttempts {
  let latest = createOwnAttempt(createAttempt());
  let proof: NotRunEvidence | undefined;
  let mayHaveRun: string | undefined;

  function closeLatest(): void {
    proof = latest.disown() ?? proof;
    // If one attempt may run, the call must not be reported as "not run".
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
