import type {AttemptId, Incarnation, VersionDigest} from './names';
import type {Milliseconds} from './units';

declare const evidenceOfNotRunning: unique symbol;

/**
 * Proof that an attempt did not run and never will. Built only by the functions
 * in `requests/evidence.ts`, so that no code can claim it without having seen
 * it.
 */
export type NotRunEvidence = {
  readonly [evidenceOfNotRunning]: true;
} & (
  | {readonly kind: 'neverDispatched'}
  | {
      readonly kind: 'refusedBeforeStart';
      readonly attempt: AttemptId;
      readonly incarnation: Incarnation;
    }
  | {
      readonly kind: 'tombstoned';
      readonly attempt: AttemptId;
      readonly incarnation: Incarnation;
    }
);

/** Every {@link NotRunReason}. */
export const NOT_RUN_REASONS = [
  'workspaceLimit',
  'queueFull',
  'deadlineTooShort',
  'noTarget',
  'workspaceClosed',
  'platformUnavailable',
  'targetLeaving',
  'retryBudgetSpent',
  'inProgress',
  'keyReused',
  'stopping',
] as const;

/** Why a request was not run, as reported to the caller. */
export type NotRunReason = (typeof NOT_RUN_REASONS)[number];

/** Whether `text`, received from another process, names a reason. */
export function isNotRunReason(text: string): text is NotRunReason {
  return (NOT_RUN_REASONS as readonly string[]).includes(text);
}

/** The three possible outcomes of a request. */
export type RequestOutcome =
  | {
      readonly kind: 'answered';
      readonly versionDigest: VersionDigest | undefined;
      readonly frameCount: number;
    }
  | {
      readonly kind: 'notRun';
      readonly evidence: NotRunEvidence;
      readonly reason: NotRunReason;
      readonly retryAfter: Milliseconds;
    }
  | {readonly kind: 'outcomeUnknown'; readonly detail: string};
