import {unreachable} from '../../kernel/flow';
import type {MonotonicInstant} from '../../types';
import {DEAD_AFTER, FORGET_GONE_AFTER, SUSPECT_AFTER} from '../bounds';
import {setLiveness, type MemberRecord} from '../member_record';
import {compensateForPause, type MembershipState} from '../membership_state';

/**
 * Updates the liveness of silent instances and removes those that are long
 * gone.
 */
export function tickMembers(
  state: MembershipState,
  now: MonotonicInstant,
): void {
  compensateForPause(state, now);
  for (const [instance, record] of state.records) {
    tickRecord(state, record, now);
    if (!isForgettable(record, now)) continue;
    state.records.delete(instance);
    state.secondhandReports.forget(instance);
  }
}

function tickRecord(
  state: MembershipState,
  record: MemberRecord,
  now: MonotonicInstant,
): void {
  const silence = now - (record.lastReceivedAt ?? record.since);
  switch (record.liveness) {
    case 'live':
      // Silence alone excludes an instance. Otherwise requests to a dead
      // instance would wait until their deadline.
      if (silence >= SUSPECT_AFTER) {
        setLiveness(record, 'suspect', now, state.log);
      }
      return;
    case 'suspect':
    case 'joining':
      if (silence >= DEAD_AFTER) setLiveness(record, 'dead', now, state.log);
      return;
    case 'dead':
    case 'leaving':
      return;
    default:
      unreachable(record.liveness);
  }
}

function isForgettable(record: MemberRecord, now: MonotonicInstant): boolean {
  if (record.listed !== undefined) return false;
  if (record.liveness !== 'dead' && record.liveness !== 'leaving') return false;
  return now - record.since >= FORGET_GONE_AFTER;
}
