import type {MonotonicInstant} from '../../types';
import {createRecord, setLiveness, type MemberRecord} from '../member_record';
import {compensateForPause, type MembershipState} from '../membership_state';
import type {ListedMember} from '../types';

/** Takes the platform's list: adds candidates and confirms leaving. */
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
  // Guards against the list bringing back one that said goodbye: the list is
  // late and still calls it live. Only what the list itself called leaving may
  // come back by the list, and then as a candidate that must be heard.
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
