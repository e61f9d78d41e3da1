import {
  unreachable,
  type NotRunReason,
  type RequestOutcome,
} from '@hibiscusbeam/core';

/** The HTTP response for an outcome without an answer. */
export interface OutcomeResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Readonly<Record<string, string | number>>;
}

/** Outcomes without an answer. */
export type UnansweredOutcome = Exclude<RequestOutcome, {kind: 'answered'}>;

/** Returns status, headers and body for a request that got no answer. */
export function responseOf(outcome: UnansweredOutcome): OutcomeResponse {
  switch (outcome.kind) {
    case 'notRun':
      return {
        status: statusOf(outcome.reason),
        headers: {
          'retry-after': String(Math.ceil(outcome.retryAfter / 1_000)),
        },
        body: bodyOf(outcome),
      };
    case 'outcomeUnknown':
      return {status: 502, headers: {}, body: bodyOf(outcome)};
    default:
      return unreachable(outcome);
  }
}

/** Returns an outcome as JSON, which is also the last line of a cut stream. */
export function bodyOf(
  outcome: UnansweredOutcome,
): Readonly<Record<string, string | number>> {
  switch (outcome.kind) {
    case 'notRun':
      return {
        outcome: 'notRun',
        reason: outcome.reason,
        retryAfterMilliseconds: Math.ceil(outcome.retryAfter),
      };
    case 'outcomeUnknown':
      return {outcome: 'outcomeUnknown', detail: outcome.detail};
    default:
      return unreachable(outcome);
  }
}

function statusOf(reason: NotRunReason): number {
  switch (reason) {
    case 'workspaceLimit':
    case 'queueFull':
      return 429;
    case 'inProgress':
    case 'keyReused':
      return 409;
    case 'deadlineTooShort':
    case 'noTarget':
    case 'workspaceClosed':
    case 'platformUnavailable':
    case 'targetLeaving':
    case 'retryBudgetSpent':
    case 'stopping':
      return 503;
    default:
      return unreachable(reason);
  }
}
