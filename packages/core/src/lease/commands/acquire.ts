import {Err, type Result} from 'ts-results';
import type {Milliseconds} from '../../types';
import {
  recordHeld,
  recordLost,
  takeoverDelay,
  type LeaseState,
} from '../lease_state';
import type {LeaseRow} from '../lease_row';
import {readClock} from '../read_clock';
import type {HeldLease, LeaseError, LeaseFlow, LeaseSettings} from '../types';
import {readLeaseRow, writeRow} from '../write_row';

/** Attempts before giving up because others keep writing the same row. */
const MAX_ATTEMPTS = 4;

/** Acquires the lease with a fencing number higher than any before. */
export function* acquireLease(
  settings: LeaseSettings,
  leaseState: LeaseState,
): LeaseFlow<HeldLease> {
  const flow = (leaseState.lastFlow += 1);
  recordLost(leaseState);
  const read = yield* readLeaseRow(settings);
  if (read.err) return read;
  let row = read.val;
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    const now = yield* readClock();
    const retryAfter =
      row === undefined ? 0 : takeoverDelay(leaseState, settings, row, now);
    if (row !== undefined && retryAfter > 0) {
      return heldByOther(row, retryAfter);
    }
    const fencing = (row?.value.fencing ?? 0) + 1;
    const outcome = yield* writeRow(settings, leaseState, row?.version, {
      fencing,
      state: 'held',
    });
    if (leaseState.lastFlow !== flow) return Err({kind: 'superseded'});
    if (outcome.err) return outcome;
    switch (outcome.val.kind) {
      case 'written': {
        const version = row === undefined ? undefined : row.version + 1;
        const {write} = outcome.val;
        return recordHeld(leaseState, settings, write, fencing, version);
      }
      case 'replaced':
        return Err({kind: 'replaced'});
      case 'changed':
        row = outcome.val.row;
    }
  }
  return Err({kind: 'contended'});
}

function heldByOther(
  row: LeaseRow,
  retryAfter: Milliseconds,
): Result<never, LeaseError> {
  const {holder, fencing} = row.value;
  return Err({kind: 'heldByOther', holder, fencing, retryAfter});
}
