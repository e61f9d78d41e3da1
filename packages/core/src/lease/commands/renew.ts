import {Err, Ok, type Result} from 'ts-results';
import type {Flow} from '../../kernel/flow';
import {noteHeld, noteLost, type LeaseMemory} from '../lease_memory';
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

/** Tries while earlier writes of our own still arrive at the table. */
const MAXIMUM_TRIES = 4;

/** Prolongs a lease that the table still says is ours. */
export function* renewLease(
  settings: LeaseSettings,
  memory: LeaseMemory,
): LeaseFlow<HeldLease> {
  const flow = (memory.lastFlow += 1);
  const held = memory.held;
  if (held === undefined) return Err({kind: 'lost'});
  const known = yield* knownVersion(settings, memory, held);
  if (memory.lastFlow !== flow) return Err({kind: 'superseded'});
  if (known.err) return known;
  let version = known.val;
  for (let tries = 0; tries < MAXIMUM_TRIES; tries += 1) {
    const outcome = yield* writeRow(settings, memory, version, {
      fencing: held.fencing,
      state: 'held',
    });
    if (memory.lastFlow !== flow) return Err({kind: 'superseded'});
    if (outcome.err) return outcome;
    switch (outcome.val.kind) {
      case 'written': {
        const {write} = outcome.val;
        return noteHeld(memory, settings, write, held.fencing, version + 1);
      }
      case 'replaced':
        noteLost(memory);
        return Err({kind: 'replaced'});
      case 'changed': {
        const row = outcome.val.row;
        if (!isOurs(settings, held, row)) return lost(memory);
        version = row.version;
      }
    }
  }
  return Err({kind: 'contended'});
}

function* knownVersion(
  settings: LeaseSettings,
  memory: LeaseMemory,
  held: HeldLease,
): Flow<LeaseEffect, LeaseReply, Result<number, LeaseError>> {
  if (memory.rowVersion !== undefined) return Ok(memory.rowVersion);
  const row = yield* readLeaseRow(settings);
  if (row.err) return row;
  if (!isOurs(settings, held, row.val)) return lost(memory);
  return Ok(row.val.version);
}

function isOurs(
  settings: LeaseSettings,
  held: HeldLease,
  row: LeaseRow | undefined,
): row is LeaseRow {
  if (row === undefined || row.value.state !== 'held') return false;
  const {token, fencing} = row.value;
  return token === settings.token && fencing === held.fencing;
}

function lost(memory: LeaseMemory): Err<LeaseError> {
  noteLost(memory);
  return Err({kind: 'lost'});
}
