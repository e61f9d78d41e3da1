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

/** Tries of one transaction whose replies are lost, before giving up. */
const MAX_ATTEMPTS = 4;

/** Pause between tries: a platform that drops replies needs no more load. */
const RETRY_PAUSE: Milliseconds = 250;

/** Time after which an operator may ask again, if the platform names none. */
const DEFAULT_RETRY_AFTER: Milliseconds = 5_000;

/** What is known of a transaction after all tries. */
export type CommitStatus =
  | {readonly kind: 'committed'}
  /** Some condition failed, perhaps because an earlier try took effect. */
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

/** Commits once. */
export function* commitOnce(
  transaction: TableTransaction,
): TableFlow<Result<CommitOutcome, PlatformError>> {
  const reply = yield {kind: 'commit', transaction};
  if (reply.kind !== 'commit') throw new Error('driver: expected a commit');
  return reply.result;
}

/** Waits. */
export function* pause(duration: Milliseconds): TableFlow<void> {
  const reply = yield {kind: 'wait', duration};
  if (reply.kind !== 'waited') throw new Error('driver: expected a pause');
}

/**
 * Commits a transaction that can take effect only once, because its own writes
 * break its conditions. A lost reply is answered by trying again: the second
 * try then fails on the conditions that the first one broke.
 */
export function* commitWithRetries(
  transaction: TableTransaction,
): TableFlow<CommitStatus> {
  let mayBeApplied = false;
  for (let attempts = 0; attempts < MAX_ATTEMPTS; attempts += 1) {
    if (attempts > 0) yield* pause(RETRY_PAUSE);
    const result = yield* commitOnce(transaction);
    if (result.ok) return {kind: result.val.kind};
    // Failure: "platform unavailable, nothing changed" after a try whose reply
    // was lost tells an operator that an accepted change was not made. Only
    // while no reply has been lost does an error prove that nothing happened.
    if (result.val.kind === 'replyLost') mayBeApplied = true;
    if (!mayBeApplied) return {kind: 'notApplied', error: result.val};
  }
  return {kind: 'unknown'};
}

/** When to come back after a platform error. */
export function retryAfter(error: PlatformError): Milliseconds {
  return error.kind === 'rateLimited' ? error.retryAfter : DEFAULT_RETRY_AFTER;
}

/** A platform error in words. */
export function describePlatformError(error: PlatformError): string {
  return error.kind === 'rateLimited' ? 'rate limited' : error.detail;
}
