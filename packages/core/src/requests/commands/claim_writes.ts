import type {TableRow, TableTransaction} from '../../types';
import {readClaim, writeClaim, type ClaimRow} from '../queries/claim_row';
import type {RequestFlow} from '../types';
import type {AtMostOnceOptions} from './at_most_once_options';
import {commit, readRow} from './steps';

/** The result of writing the claim row. */
export type ClaimWrite =
  /** The row has the intended state, at this version. */
  | {readonly kind: 'written'; readonly version: number}
  /** The row has another state. */
  | {readonly kind: 'other'; readonly row: TableRow}
  /**
   * Not known to be written: the write may have taken effect or still do so.
   */
  | {readonly kind: 'undecided'; readonly retryAfter: number};

// Version of a row after its first write. If a table counts differently, the
// next conditional write fails and its reply contains the actual version.
const FIRST_VERSION = 1;

function hasSameState(row: TableRow, claim: ClaimRow): boolean {
  const found = readClaim(row.value);
  if (found.err) return false;
  if (found.val.kind !== claim.kind) return false;
  return attemptOf(found.val) === attemptOf(claim);
}

/** The attempt that a claim row names. */
export function attemptOf(claim: ClaimRow): string {
  return claim.kind === 'claimed' ? claim.address.attempt : claim.attempt;
}

function transactionFor(
  options: AtMostOnceOptions,
  base: number | undefined,
  claim: ClaimRow,
): TableTransaction {
  const {key} = options;
  return {
    conditions: [
      // Two entries that claim one key at the same time would both dispatch it;
      // the condition lets only one of them succeed.
      base === undefined
        ? {kind: 'absent', key}
        : {kind: 'versionIs', key, version: base},
    ],
    writes: [{kind: 'put', key, value: writeClaim(claim)}],
  };
}

/**
 * Writes the claim row if its version is `base` (`undefined`: if there is no
 * row). A lost reply is resolved by reading the row back. The write is retried
 * only under its unchanged condition, so that a late duplicate of it fails.
 */
export function* writeClaimRow(
  options: AtMostOnceOptions,
  base: number | undefined,
  claim: ClaimRow,
): RequestFlow<ClaimWrite> {
  const transaction = transactionFor(options, base, claim);
  const {limits} = options;
  for (let attempted = 0; attempted < limits.maxWriteAttempts; attempted += 1) {
    const reply = yield* commit(transaction);
    if (reply.ok) {
      if (reply.val.kind === 'committed') {
        return {kind: 'written', version: (base ?? FIRST_VERSION - 1) + 1};
      }
      return evaluateExistingRow(
        reply.val.failed[0]?.row,
        claim,
        limits.retryAfter,
      );
    }
    if (reply.val.kind !== 'replyLost') {
      const retryAfter =
        reply.val.kind === 'rateLimited'
          ? reply.val.retryAfter
          : limits.retryAfter;
      return {kind: 'undecided', retryAfter};
    }
    const found = yield* readRow(options.key);
    if (found.err) return {kind: 'undecided', retryAfter: limits.retryAfter};
    // An unchanged row does not prove that the lost write won't take effect.
    if (found.val?.version === base) continue;
    return evaluateExistingRow(found.val, claim, limits.retryAfter);
  }
  return {kind: 'undecided', retryAfter: limits.retryAfter};
}

function evaluateExistingRow(
  row: TableRow | undefined,
  claim: ClaimRow,
  retryAfter: number,
): ClaimWrite {
  if (row === undefined) return {kind: 'undecided', retryAfter};
  if (hasSameState(row, claim)) return {kind: 'written', version: row.version};
  return {kind: 'other', row};
}
