import {Err, Ok} from 'ts-results';
import {recordLost, type LeaseState} from '../lease_state';
import type {LeaseFlow, LeaseSettings} from '../types';
import {readLeaseRow, writeRow} from '../write_row';

/**
 * Releases the lease. The row is kept, so that its fencing number never
 * decreases.
 */
export function* releaseLease(
  settings: LeaseSettings,
  leaseState: LeaseState,
): LeaseFlow<void> {
  const flow = (leaseState.lastFlow += 1);
  // The holder stops before the release is sent, not when its reply arrives.
  // Otherwise it could still act after others have acquired the lease.
  recordLost(leaseState);
  const row = yield* readLeaseRow(settings);
  if (row.err) return row;
  if (leaseState.lastFlow !== flow) return Err({kind: 'superseded'});
  if (row.val === undefined) return Ok(undefined);
  const {token, fencing, state} = row.val.value;
  if (token !== settings.token || state === 'released') return Ok(undefined);
  const outcome = yield* writeRow(settings, leaseState, row.val.version, {
    fencing,
    state: 'released',
  });
  if (outcome.err) return outcome;
  return outcome.val.kind === 'written'
    ? Ok(undefined)
    : Err({kind: 'contended'});
}
