import type {AttemptAddress, Milliseconds} from '@hibiscusbeam/core';
import type {ServeRequest} from '@hibiscusbeam/wire';

/** What to run, apart from where and as which attempt. */
export interface ServeWork {
  readonly workspace: string;
  readonly work: NonNullable<ServeRequest['work']>;
  readonly priority: number;
  readonly repeatable: boolean;
}

/** The message that asks an agent to run one attempt. */
export function serveRequestOf(
  serveWork: ServeWork,
  address: AttemptAddress,
  remaining: Milliseconds,
): ServeRequest {
  return {
    attempt: address.attempt,
    workspace: serveWork.workspace,
    incarnation: address.incarnation,
    work: serveWork.work,
    deadlineMilliseconds: Math.max(1, Math.ceil(remaining)),
    priority: serveWork.priority,
    repeatable: serveWork.repeatable,
  };
}
