import type {NotRunEvidence, NotRunReason} from '../../types';
import type {RequestResult, CompleteAnswer} from '../types';

/** The result of a call that was answered. */
export function answered(answer: CompleteAnswer): RequestResult {
  const {versionDigest, frames} = answer;
  const frameCount = frames.length;
  return {outcome: {kind: 'answered', versionDigest, frameCount}, answer};
}

/** The result of a call that may have run. */
export function outcomeUnknown(detail: string): RequestResult {
  return {outcome: {kind: 'outcomeUnknown', detail}, answer: undefined};
}

/** The result of a call that is proved not to have run. */
export function notRun(
  evidence: NotRunEvidence,
  reason: NotRunReason,
  retryAfter: number,
): RequestResult {
  const outcome = {kind: 'notRun', evidence, reason, retryAfter} as const;
  return {outcome, answer: undefined};
}
