import {Err, Ok} from 'ts-results';
import {recordLost, type LeaseState} from '../lease_state';
import type {LeaseFlow, LeaseSettings} from '../types';
import {readLeaseRow, writeRow} from '../write_row';

/** Gives the lease back; the row stays, so that its number never falls. */
export function* releaseLease(
  settings: LeaseSettings,
  leaseState: LeaseState,
): LeaseFlow<void> {
  const flow = (leaseState.lastFlow += 1);
  // Guards against acting after others were let in: the holder stops before
  // the request to release is sent, not when its reply comes.
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
