import type {InstanceName, MonotonicInstant} from '../types';
import {LOCAL_PAUSE_THRESHOLD} from './bounds';
import {createChangeLog, type ChangeLog} from './change_log';
import {
  createSecondhandReports,
  type SecondhandReports,
} from './secondhand_reports';
import type {MemberRecord} from './member_record';

/** What a process remembers of the others. */
export interface MembershipState {
  readonly self: InstanceName;
  readonly records: Map<InstanceName, MemberRecord>;
  readonly log: ChangeLog;
  readonly secondhandReports: SecondhandReports;
  lastCallAt: MonotonicInstant | undefined;
}

/** Memory of a process that knows nobody. */
export function createMembershipState(self: InstanceName): MembershipState {
  return {
    self,
    records: new Map(),
    log: createChangeLog(),
    secondhandReports: createSecondhandReports(),
    lastCallAt: undefined,
  };
}

/** To be called first in each command. */
export function compensateForPause(
  state: MembershipState,
  now: MonotonicInstant,
): void {
  const gap = state.lastCallAt === undefined ? 0 : now - state.lastCallAt;
  state.lastCallAt = now;
  if (gap <= LOCAL_PAUSE_THRESHOLD) return;
  // Guards against blaming others for a pause of our own, which would show as
  // all instances falling at once: what we did not hear while paused waits in
  // our sockets, so the pause does not count as their silence.
  for (const record of state.records.values()) {
    if (record.lastReceivedAt !== undefined) record.lastReceivedAt += gap;
    if (record.continuousSince !== undefined) record.continuousSince += gap;
  }
}
