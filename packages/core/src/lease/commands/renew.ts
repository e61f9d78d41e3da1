import {Err, Ok, type Result} from 'ts-results';
import type {Flow} from '../../kernel/flow';
import {recordHeld, recordLost, type LeaseState} from '../lease_state';
import type {LeaseRow} from '../lease_row';
import type {
  HeldLease,
  LeaseEffect,
  LeaseError,
  LeaseFlow,
  LeaseReply,
  LeaseSettings,
} from '../types';
import {readLeaseRow, writeRow} from '../write_row';

/**
 * Attempts while earlier writes of this holder are still arriving at the table.
 */
const MAX_ATTEMPTS = 4;

/** Renews a lease that the table still assigns to this holder. */
export function* renewLease(
  settings: LeaseSettings,
  leaseState: LeaseState,
): LeaseFlow<HeldLease> {
  const flow = (leaseState.lastFlow += 1);
  const held = leaseState.held;
  if (held === undefined) return Err({kind: 'lost'});
  const known = yield* knownVersion(settings, leaseState, held);
  if (leaseState.lastFlow !== flow) return Err({kind: 'superseded'});
  if (known.err) return known;
  let version = known.val;
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    const outcome = yield* writeRow(settings, leaseState, version, {
      fencing: held.fencing,
      state: 'held',
    });
    if (leaseState.lastFlow !== flow) return Err({kind: 'superseded'});
    if (outcome.err) return outcome;
    switch (outcome.val.kind) {
      case 'written': {
        const {write} = outcome.val;
        return recordHeld(
          leaseState,
          settings,
          write,
          held.fencing,
          version + 1,
        );
      }
      case 'replaced':
        recordLost(leaseState);
        return Err({kind: 'replaced'});
      case 'changed': {
        const row = outcome.val.row;
        if (!isOwnRow(settings, held, row)) return lost(leaseState);
        version = row.version;
      }
    }
  }
  return Err({kind: 'contended'});
}

function* knownVersion(
  settings: LeaseSettings,
  leaseState: LeaseState,
  held: HeldLease,
): Flow<LeaseEffect, LeaseReply, Result<number, LeaseError>> {
  if (leaseState.rowVersion !== undefined) return Ok(leaseState.rowVersion);
  const row = yield* readLeaseRow(settings);
  if (row.err) return row;
  if (!isOwnRow(settings, held, row.val)) return lost(leaseState);
  return Ok(row.val.version);
}

function isOwnRow(
  settings: LeaseSettings,
  held: HeldLease,
  row: LeaseRow | undefined,
): row is LeaseRow {
  if (row === undefined || row.value.state !== 'held') return false;
  const {token, fencing} = row.value;
  return token === settings.token && fencing === held.fencing;
}

function lost(leaseState: LeaseState): Err<LeaseError> {
  recordLost(leaseState);
  return Err({kind: 'lost'});
}
