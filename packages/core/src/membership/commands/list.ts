import type {MonotonicInstant} from '../../types';
import {createRecord, setLiveness, type MemberRecord} from '../member_record';
import {compensateForPause, type MembershipState} from '../membership_state';
import type {ListedMember} from '../types';

/**
 * Applies the platform's list: adds candidates and confirms leaving instances.
 */
export function applyList(
  state: MembershipState,
  lines: readonly ListedMember[],
  now: MonotonicInstant,
): void {
  compensateForPause(state, now);
  const listed = new Set<string>();
  for (const line of lines) {
    if (line.instance === state.self) continue;
    listed.add(line.instance);
    applyListedMember(state, line, now);
  }
  for (const record of state.records.values()) {
    if (!listed.has(record.identity.instance)) record.listed = undefined;
  }
}

function applyListedMember(
  state: MembershipState,
  line: ListedMember,
  now: MonotonicInstant,
): void {
  const record =
    state.records.get(line.instance) ?? addRecord(state, line, now);
  const before = record.listed;
  record.listed = line.state;
  if (record.incarnation === 0) record.identity = identityOf(line);
  if (before === line.state) return;
  if (line.state === 'leaving') {
    setLiveness(record, 'leaving', now, state.log);
    return;
  }
  // The list lags and may still contain an instance as live after its goodbye,
  // which must not bring it back. Only an instance that the list itself
  // reported as leaving may return through the list, and then as a candidate
  // that must send a message first.
  if (before === 'leaving' && !record.sentGoodbye) {
    if (record.liveness !== 'leaving') return;
    setLiveness(record, 'joining', now, state.log);
  }
}

function addRecord(
  state: MembershipState,
  line: ListedMember,
  now: MonotonicInstant,
): MemberRecord {
  const record = createRecord(identityOf(line), now);
  state.records.set(line.instance, record);
  return record;
}

function identityOf({
  instance,
  role,
  address,
  zone,
  region,
}: ListedMember): MemberRecord['identity'] {
  return {instance, role, address, zone, region};
}
