import type {InstanceName, MonotonicInstant} from '../types';
import {OWN_PAUSE} from './bounds';
import {createChangeLog, type ChangeLog} from './change_log';
import {createHearsay, type Hearsay} from './hearsay';
import type {MemberRecord} from './member_record';

/** What a process remembers of the others. */
export interface MembershipMemory {
  readonly self: InstanceName;
  readonly records: Map<InstanceName, MemberRecord>;
  readonly log: ChangeLog;
  readonly hearsay: Hearsay;
  lastCall: MonotonicInstant | undefined;
}

/** Memory of a process that knows nobody. */
export function createMembershipMemory(self: InstanceName): MembershipMemory {
  return {
    self,
    records: new Map(),
    log: createChangeLog(),
    hearsay: createHearsay(),
    lastCall: undefined,
  };
}

/** To be called first in each command. */
export function noteCall(
  memory: MembershipMemory,
  now: MonotonicInstant,
): void {
  const gap = memory.lastCall === undefined ? 0 : now - memory.lastCall;
  memory.lastCall = now;
  if (gap <= OWN_PAUSE) return;
  // Guards against blaming others for a pause of our own, which would show as
  // all instances falling at once: what we did not hear while paused waits in
  // our sockets, so the pause does not count as their silence.
  for (const record of memory.records.values()) {
    if (record.lastHeard !== undefined) record.lastHeard += gap;
    if (record.heardSince !== undefined) record.heardSince += gap;
  }
}
