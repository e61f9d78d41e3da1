import type {
  AttemptAddress,
  Milliseconds,
  VersionDigest,
} from '@hibiscusbeam/core';
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
  versionDigest: VersionDigest | undefined,
): ServeRequest {
  return {
    attempt: address.attempt,
    workspace: serveWork.workspace,
    incarnation: address.incarnation,
    work: withVersion(serveWork.work, versionDigest),
    deadlineMilliseconds: Math.max(1, Math.ceil(remaining)),
    priority: serveWork.priority,
    repeatable: serveWork.repeatable,
  };
}

/** The rest of a begun answer must come from the version that began it. */
function withVersion(
  work: ServeWork['work'],
  versionDigest: VersionDigest | undefined,
): ServeWork['work'] {
  if (work.$case === 'call' || versionDigest === undefined) return work;
  return {$case: 'generate', generate: {...work.generate, versionDigest}};
}
