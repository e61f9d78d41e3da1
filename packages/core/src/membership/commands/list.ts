import type {MonotonicInstant} from '../../types';
import {createRecord, setLiveness, type MemberRecord} from '../member_record';
import {noteCall, type MembershipMemory} from '../membership_memory';
import type {ListedMember} from '../types';

/** Takes the platform's list: adds candidates and confirms leaving. */
export function takeList(
  memory: MembershipMemory,
  lines: readonly ListedMember[],
  now: MonotonicInstant,
): void {
  noteCall(memory, now);
  const listed = new Set<string>();
  for (const line of lines) {
    if (line.instance === memory.self) continue;
    listed.add(line.instance);
    takeLine(memory, line, now);
  }
  for (const record of memory.records.values()) {
    if (!listed.has(record.identity.instance)) record.listed = undefined;
  }
}

function takeLine(
  memory: MembershipMemory,
  line: ListedMember,
  now: MonotonicInstant,
): void {
  const record = memory.records.get(line.instance) ?? add(memory, line, now);
  const before = record.listed;
  record.listed = line.state;
  if (record.incarnation === 0) record.identity = identityOf(line);
  if (before === line.state) return;
  if (line.state === 'leaving') {
    setLiveness(record, 'leaving', now, memory.log);
    return;
  }
  // Guards against the list bringing back one that said goodbye: the list is
  // late and still calls it live. Only what the list itself called leaving may
  // come back by the list, and then as a candidate that must be heard.
  if (before === 'leaving' && !record.saidGoodbye) {
    if (record.liveness !== 'leaving') return;
    setLiveness(record, 'joining', now, memory.log);
  }
}

function add(
  memory: MembershipMemory,
  line: ListedMember,
  now: MonotonicInstant,
): MemberRecord {
  const record = createRecord(identityOf(line), now);
  memory.records.set(line.instance, record);
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
