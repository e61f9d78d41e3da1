import type {Incarnation, InstanceName, MonotonicInstant} from '../../types';
import {
  beginIncarnation,
  createRecord,
  recordContact,
  setLiveness,
  type MemberRecord,
} from '../member_record';
import {compensateForPause, type MembershipState} from '../membership_state';
import type {MemberHeartbeat, MemberIdentity, MessageOutcome} from '../types';

/** Takes a hello: the first message of each session. */
export function handleHello(
  state: MembershipState,
  identity: MemberIdentity,
  incarnation: Incarnation,
  now: MonotonicInstant,
): MessageOutcome {
  compensateForPause(state, now);
  if (identity.instance === state.self) return 'ignored';
  const record = recordOf(state, identity, now);
  if (incarnation < record.incarnation) return 'ignored';
  if (incarnation > record.incarnation) {
    const isFirstContact = record.incarnation === 0;
    const listedLeaving = isFirstContact && record.liveness === 'leaving';
    if (listedLeaving) record.incarnation = incarnation;
    else beginIncarnation(record, incarnation, now, state.log);
  }
  // Guards against new work for one that left: a late or repeated hello of the
  // same life does not bring it back.
  if (record.liveness === 'leaving') return 'ignored';
  record.identity = identity;
  recordContact(record, now, state.log);
  return 'taken';
}

/** Takes a heartbeat. */
export function handleHeartbeat(
  state: MembershipState,
  heartbeat: MemberHeartbeat,
  now: MonotonicInstant,
): MessageOutcome {
  compensateForPause(state, now);
  const record = state.records.get(heartbeat.instance);
  if (record === undefined) return 'needsHello';
  if (heartbeat.incarnation > record.incarnation) return 'needsHello';
  if (heartbeat.incarnation < record.incarnation) return 'ignored';
  // Guards against an old heartbeat that comes late: it would show as a dead
  // instance that stays in routing.
  if (heartbeat.sequence <= record.lastSequence) return 'ignored';
  record.lastSequence = heartbeat.sequence;
  const isCancelled = isLeavingCancelled(record, heartbeat);
  record.reportedLeaving = heartbeat.leaving;
  if (record.liveness === 'leaving') {
    if (!isCancelled) return 'ignored';
    setLiveness(record, 'joining', now, state.log);
  }
  if (heartbeat.leaving) setLiveness(record, 'leaving', now, state.log);
  else recordContact(record, now, state.log);
  return 'taken';
}

/**
 * Whether an instance that said it leaves now says that it stays, as after an
 * operator's second thought. Without this it would get no work until it is
 * restarted. What the list calls leaving, or what said goodbye, stays gone.
 */
function isLeavingCancelled(
  record: MemberRecord,
  heartbeat: MemberHeartbeat,
): boolean {
  if (!record.reportedLeaving || heartbeat.leaving) return false;
  return record.listed !== 'leaving' && !record.sentGoodbye;
}

/** Takes a goodbye. */
export function handleGoodbye(
  state: MembershipState,
  instance: InstanceName,
  incarnation: Incarnation,
  now: MonotonicInstant,
): MessageOutcome {
  compensateForPause(state, now);
  const record = state.records.get(instance);
  if (record === undefined || incarnation < record.incarnation) {
    return 'ignored';
  }
  record.incarnation = incarnation;
  record.sentGoodbye = true;
  setLiveness(record, 'leaving', now, state.log);
  return 'taken';
}

/** Notes that the session with an instance broke. */
export function handleSessionLost(
  state: MembershipState,
  instance: InstanceName,
  incarnation: Incarnation,
  now: MonotonicInstant,
): void {
  compensateForPause(state, now);
  const record = state.records.get(instance);
  if (record === undefined || record.incarnation !== incarnation) return;
  if (record.liveness !== 'live') return;
  setLiveness(record, 'suspect', now, state.log);
}

function recordOf(
  state: MembershipState,
  identity: MemberIdentity,
  now: MonotonicInstant,
): MemberRecord {
  const known = state.records.get(identity.instance);
  if (known !== undefined) return known;
  const record = createRecord(identity, now);
  state.records.set(identity.instance, record);
  return record;
}
