import type {TableRow, TableTransaction} from '../../types';
import {readClaim, writeClaim, type ClaimRow} from '../queries/claim_row';
import type {RequestFlow} from '../types';
import type {AtMostOnceOptions} from './at_most_once_options';
import {commit, readRow} from './steps';

/** What came of writing the claim row. */
export type ClaimWrite =
  /** The row holds what was to be written, at this version. */
  | {readonly kind: 'written'; readonly version: number}
  /** Somebody else's state stands there. */
  | {readonly kind: 'other'; readonly row: TableRow}
  /** Not known to be written: it may be there, or land later. */
  | {readonly kind: 'undecided'; readonly retryAfter: number};

// Version of a row's first write; if a table counts otherwise, the first
// versioned write fails and its reply tells the version.
const FIRST_VERSION = 1;

function hasSameState(row: TableRow, claim: ClaimRow): boolean {
  const found = readClaim(row.value);
  if (found.err) return false;
  if (found.val.kind !== claim.kind) return false;
  return attemptOf(found.val) === attemptOf(claim);
}

/** The attempt that a claim row speaks of. */
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
      // Two entries that meet one key at once would both dispatch it; the
      // condition lets one of them win.
      base === undefined
        ? {kind: 'absent', key}
        : {kind: 'versionIs', key, version: base},
    ],
    writes: [{kind: 'put', key, value: writeClaim(claim)}],
  };
}

/**
 * Writes the claim row over version `base` (`undefined`: over no row).
 * A lost reply is resolved by reading back; the write is repeated only under
 * its unchanged condition, so that a late copy of it fails.
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
    // A row unchanged so far is no proof that the lost write won't land.
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
