import type {InstanceName, MonotonicInstant} from '../types';
import {LOCAL_PAUSE_THRESHOLD} from './bounds';
import {createChangeLog, type ChangeLog} from './change_log';
import {
  createSecondhandReports,
  type SecondhandReports,
} from './secondhand_reports';
import type {MemberRecord} from './member_record';

/** State that a process keeps about the other processes. */
export interface MembershipState {
  readonly self: InstanceName;
  readonly records: Map<InstanceName, MemberRecord>;
  readonly log: ChangeLog;
  readonly secondhandReports: SecondhandReports;
  lastCallAt: MonotonicInstant | undefined;
}

/** Creates the state of a process that knows no others. */
export function createMembershipState(self: InstanceName): MembershipState {
  return {
    self,
    records: new Map(),
    log: createChangeLog(),
    secondhandReports: createSecondhandReports(),
    lastCallAt: undefined,
  };
}

/**
 * Excludes a pause of this process from the silence of the others. Must be
 * called first in each command.
 */
export function compensateForPause(
  state: MembershipState,
  now: MonotonicInstant,
): void {
  const gap = state.lastCallAt === undefined ? 0 : now - state.lastCallAt;
  state.lastCallAt = now;
  if (gap <= LOCAL_PAUSE_THRESHOLD) return;
  // Messages that arrive during a pause of this process wait in its sockets, so
  // the pause does not count as silence. Otherwise all instances would become
  // suspect at once.
  for (const record of state.records.values()) {
    if (record.lastReceivedAt !== undefined) record.lastReceivedAt += gap;
    if (record.continuousSince !== undefined) record.continuousSince += gap;
  }
}
