import type {
  AttemptAddress,
  Milliseconds,
  VersionDigest,
} from '@hibiscusbeam/core';
import type {ServeRequest} from '@hibiscusbeam/wire';

/** The work of a request, without target and attempt. */
export interface ServeWork {
  readonly workspace: string;
  readonly work: NonNullable<ServeRequest['work']>;
  readonly priority: number;
  readonly repeatable: boolean;
}

/** Builds the message that requests an agent to run an attempt. */
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

/** Sets the version, so that a resumed answer comes from the same version. */
function withVersion(
  work: ServeWork['work'],
  versionDigest: VersionDigest | undefined,
): ServeWork['work'] {
  if (work.$case === 'call' || versionDigest === undefined) return work;
  return {$case: 'generate', generate: {...work.generate, versionDigest}};
}
