import type {Result} from 'ts-results';
import type {
  CommitOutcome,
  Milliseconds,
  PlatformError,
  TableKey,
  TableRow,
  TableTransaction,
} from '../../types';
import type {TableFlow} from '../types';

/** Maximum number of attempts for a transaction whose replies are lost. */
const MAX_ATTEMPTS = 4;

/**
 * Pause between attempts, which limits the load on a platform that drops
 * replies.
 */
const RETRY_PAUSE: Milliseconds = 250;

/** Time after which an operator may retry, if the platform names none. */
const DEFAULT_RETRY_AFTER: Milliseconds = 5_000;

/** What is known of a transaction after all attempts. */
export type CommitStatus =
  | {readonly kind: 'committed'}
  /** A condition failed, perhaps because an earlier attempt took effect. */
  | {readonly kind: 'conditionFailed'}
  | {readonly kind: 'notApplied'; readonly error: PlatformError}
  | {readonly kind: 'unknown'};

/** Reads one row. */
export function* readRow(
  key: TableKey,
): TableFlow<Result<TableRow | undefined, PlatformError>> {
  const reply = yield {kind: 'readRow', key};
  if (reply.kind !== 'row') throw new Error('driver: expected a row');
  return reply.result;
}

/** Commits a transaction without retries. */
export function* commitOnce(
  transaction: TableTransaction,
): TableFlow<Result<CommitOutcome, PlatformError>> {
  const reply = yield {kind: 'commit', transaction};
  if (reply.kind !== 'commit') throw new Error('driver: expected a commit');
  return reply.result;
}

/** Waits for `duration`. */
export function* pause(duration: Milliseconds): TableFlow<void> {
  const reply = yield {kind: 'wait', duration};
  if (reply.kind !== 'waited') throw new Error('driver: expected a pause');
}

/**
 * Commits a transaction that can take effect only once, because its own writes
 * break its conditions. A lost reply is followed by a retry, which fails on the
 * conditions if the first attempt took effect.
 */
export function* commitWithRetries(
  transaction: TableTransaction,
): TableFlow<CommitStatus> {
  let mayBeApplied = false;
  for (let attempts = 0; attempts < MAX_ATTEMPTS; attempts += 1) {
    if (attempts > 0) yield* pause(RETRY_PAUSE);
    const result = yield* commitOnce(transaction);
    if (result.ok) return {kind: result.val.kind};
    // An error proves that nothing changed only if no reply has been lost
    // before. After a lost reply, reporting "platform unavailable, nothing
    // changed" could hide an accepted change.
    if (result.val.kind === 'replyLost') mayBeApplied = true;
    if (!mayBeApplied) return {kind: 'notApplied', error: result.val};
  }
  return {kind: 'unknown'};
}

/** Time to wait before a retry after a platform error. */
export function retryAfter(error: PlatformError): Milliseconds {
  return error.kind === 'rateLimited' ? error.retryAfter : DEFAULT_RETRY_AFTER;
}

/** Formats a platform error for an operator. */
export function describePlatformError(error: PlatformError): string {
  return error.kind === 'rateLimited' ? 'rate limited' : error.detail;
}
