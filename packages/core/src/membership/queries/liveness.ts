import {memberOf} from '../member_record';
import type {InstanceName} from '../../types';
import type {MembershipMemory} from '../membership_memory';
import type {Liveness, LivenessChange, LivenessDelta, Member} from '../types';

/** All instances that are known, by name. */
export function listMembers(memory: MembershipMemory): readonly Member[] {
  return [...memory.records.values()]
    .map(memberOf)
    .sort((left, right) => (left.instance < right.instance ? -1 : 1));
}

/** Liveness from our own ear or, where we have none, from live tellers. */
export function livenessOf(
  memory: MembershipMemory,
  instance: InstanceName,
): Liveness | undefined {
  const record = memory.records.get(instance);
  const heard = record?.lastHeard !== undefined;
  if (heard || record?.liveness === 'leaving') return record?.liveness;
  // A dead teller's words grow stale without anybody mending them.
  const told = memory.hearsay.livenessOf(
    instance,
    teller => memory.records.get(teller)?.liveness === 'live',
  );
  return told ?? record?.liveness;
}

/** What changed since a position, from what we heard ourselves. */
export function changesSince(
  memory: MembershipMemory,
  position: number,
): LivenessDelta {
  const delta = memory.log.since(position);
  if (delta !== undefined) return delta;
  const changes: LivenessChange[] = [];
  for (const {identity, incarnation, liveness} of memory.records.values()) {
    if (liveness === 'joining') continue;
    changes.push({instance: identity.instance, incarnation, liveness});
  }
  return {kind: 'all', changes, latest: memory.log.latest()};
}
