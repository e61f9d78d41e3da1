import type {Incarnation, InstanceName, MonotonicInstant} from '../../types';
import {
  beginLife,
  createRecord,
  noteHeard,
  setLiveness,
  type MemberRecord,
} from '../member_record';
import {noteCall, type MembershipMemory} from '../membership_memory';
import type {MemberHeartbeat, MemberIdentity, MessageVerdict} from '../types';

/** Takes a hello: the first message of each session. */
export function takeHello(
  memory: MembershipMemory,
  identity: MemberIdentity,
  incarnation: Incarnation,
  now: MonotonicInstant,
): MessageVerdict {
  noteCall(memory, now);
  if (identity.instance === memory.self) return 'ignored';
  const record = recordOf(memory, identity, now);
  if (incarnation < record.incarnation) return 'ignored';
  if (incarnation > record.incarnation) {
    const neverHeard = record.incarnation === 0;
    const listedLeaving = neverHeard && record.liveness === 'leaving';
    if (listedLeaving) record.incarnation = incarnation;
    else beginLife(record, incarnation, now, memory.log);
  }
  // Guards against new work for one that left: a late or repeated hello of the
  // same life does not bring it back.
  if (record.liveness === 'leaving') return 'ignored';
  record.identity = identity;
  noteHeard(record, now, memory.log);
  return 'taken';
}

/** Takes a heartbeat. */
export function takeHeartbeat(
  memory: MembershipMemory,
  heartbeat: MemberHeartbeat,
  now: MonotonicInstant,
): MessageVerdict {
  noteCall(memory, now);
  const record = memory.records.get(heartbeat.instance);
  if (record === undefined) return 'needsHello';
  if (heartbeat.incarnation > record.incarnation) return 'needsHello';
  if (heartbeat.incarnation < record.incarnation) return 'ignored';
  // Guards against an old heartbeat that comes late: it would show as a dead
  // instance that stays in routing.
  if (heartbeat.sequence <= record.lastSequence) return 'ignored';
  record.lastSequence = heartbeat.sequence;
  const takesBack = takesLeavingBack(record, heartbeat);
  record.saidLeaving = heartbeat.leaving;
  if (record.liveness === 'leaving') {
    if (!takesBack) return 'ignored';
    setLiveness(record, 'joining', now, memory.log);
  }
  if (heartbeat.leaving) setLiveness(record, 'leaving', now, memory.log);
  else noteHeard(record, now, memory.log);
  return 'taken';
}

/**
 * Whether an instance that said it leaves now says that it stays, as after an
 * operator's second thought. Without this it would get no work until it is
 * restarted. What the list calls leaving, or what said goodbye, stays gone.
 */
function takesLeavingBack(
  record: MemberRecord,
  heartbeat: MemberHeartbeat,
): boolean {
  if (!record.saidLeaving || heartbeat.leaving) return false;
  return record.listed !== 'leaving' && !record.saidGoodbye;
}

/** Takes a goodbye. */
export function takeGoodbye(
  memory: MembershipMemory,
  instance: InstanceName,
  incarnation: Incarnation,
  now: MonotonicInstant,
): MessageVerdict {
  noteCall(memory, now);
  const record = memory.records.get(instance);
  if (record === undefined || incarnation < record.incarnation) {
    return 'ignored';
  }
  record.incarnation = incarnation;
  record.saidGoodbye = true;
  setLiveness(record, 'leaving', now, memory.log);
  return 'taken';
}

/** Notes that the session with an instance broke. */
export function noteSessionLost(
  memory: MembershipMemory,
  instance: InstanceName,
  incarnation: Incarnation,
  now: MonotonicInstant,
): void {
  noteCall(memory, now);
  const record = memory.records.get(instance);
  if (record === undefined || record.incarnation !== incarnation) return;
  if (record.liveness !== 'live') return;
  setLiveness(record, 'suspect', now, memory.log);
}

function recordOf(
  memory: MembershipMemory,
  identity: MemberIdentity,
  now: MonotonicInstant,
): MemberRecord {
  const known = memory.records.get(identity.instance);
  if (known !== undefined) return known;
  const record = createRecord(identity, now);
  memory.records.set(identity.instance, record);
  return record;
}
