import {memberOf} from '../member_record';
import type {InstanceName} from '../../types';
import type {MembershipState} from '../membership_state';
import type {Liveness, LivenessChange, LivenessDelta, Member} from '../types';

/** All known instances, sorted by name. */
export function listMembers(state: MembershipState): readonly Member[] {
  return [...state.records.values()]
    .map(memberOf)
    .sort((left, right) => (left.instance < right.instance ? -1 : 1));
}

/**
 * Liveness from received messages or, without any, from reports of live
 * processes.
 */
export function livenessOf(
  state: MembershipState,
  instance: InstanceName,
): Liveness | undefined {
  const record = state.records.get(instance);
  const hasContact = record?.lastReceivedAt !== undefined;
  if (hasContact || record?.liveness === 'leaving') return record?.liveness;
  // The reports of a dead process become stale, and nothing would correct them.
  const reported = state.secondhandReports.livenessOf(
    instance,
    reporter => state.records.get(reporter)?.liveness === 'live',
  );
  return reported ?? record?.liveness;
}

/**
 * Changes since a position, from messages that this process received itself.
 */
export function changesSince(
  state: MembershipState,
  position: number,
): LivenessDelta {
  const delta = state.log.since(position);
  if (delta !== undefined) return delta;
  const changes: LivenessChange[] = [];
  for (const {identity, incarnation, liveness} of state.records.values()) {
    if (liveness === 'joining') continue;
    changes.push({instance: identity.instance, incarnation, liveness});
  }
  return {kind: 'all', changes, latest: state.log.latest()};
}
