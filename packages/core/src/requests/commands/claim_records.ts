import type {AttemptId, TableRow} from '../../types';
import {readClaim, type ClaimRow} from '../queries/claim_row';
import type {AttemptAddress, RequestFlow, CompleteAnswer} from '../types';
import {storeAnswer} from './answer_storage';
import type {AtMostOnceOptions} from './at_most_once_options';
import {attemptOf, writeClaimRow} from './claim_writes';

/** A key that is free: its row is released, or its attempt will never run. */
export interface FreeClaim {
  readonly version: number;
  /** The attempt that the row still names, proved never to run. */
  readonly claimed: AttemptId | undefined;
}

/**
 * Marks the key as free, so that a retry need not contact the agent. Returns
 * the row of another call if one has taken over the key.
 */
export function* releaseClaim(
  options: AtMostOnceOptions,
  claim: FreeClaim,
): RequestFlow<TableRow | undefined> {
  const {version, claimed: attempt} = claim;
  if (attempt === undefined) return undefined;
  const {fingerprint} = options;
  const row: ClaimRow = {kind: 'released', fingerprint, attempt};
  const write = yield* writeClaimRow(options, version, row);
  return write.kind === 'other' ? write.row : undefined;
}

/** Records the answer, best effort: the caller gets it in any case. */
export function* recordAnswer(
  options: AtMostOnceOptions,
  version: number,
  answer: CompleteAnswer,
): RequestFlow<void> {
  const body = yield* storeAnswer(options, answer);
  if (body === undefined) return;
  const {fingerprint} = options;
  const {attempt, versionDigest, digest} = answer;
  yield* overwriteOwnClaim(options, version, {
    kind: 'answered',
    fingerprint,
    attempt,
    versionDigest,
    digest,
    body,
  });
}

/** Records that it can never be known whether the attempt ran. */
export function* recordOutcomeUnknown(
  options: AtMostOnceOptions,
  version: number,
  {attempt}: AttemptAddress,
  detail: string,
): RequestFlow<void> {
  const {fingerprint} = options;
  const row: ClaimRow = {kind: 'outcomeUnknown', fingerprint, attempt, detail};
  yield* overwriteOwnClaim(options, version, row);
}

/** Overwrites the claim of the same attempt with its end, and no other row. */
function* overwriteOwnClaim(
  options: AtMostOnceOptions,
  version: number,
  row: ClaimRow,
): RequestFlow<void> {
  const write = yield* writeClaimRow(options, version, row);
  if (write.kind !== 'other') return;
  const found = readClaim(write.row.value);
  if (found.err || found.val.kind !== 'claimed') return;
  // A claim of another attempt, or a recorded end, must not be overwritten.
  if (attemptOf(found.val) !== attemptOf(row)) return;
  yield* writeClaimRow(options, write.row.version, row);
}
