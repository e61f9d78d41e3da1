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

/** Handles a hello, the first message of each session. */
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
  // A late or repeated hello of the same incarnation does not bring back an
  // instance that has left; it would get new work.
  if (record.liveness === 'leaving') return 'ignored';
  record.identity = identity;
  recordContact(record, now, state.log);
  return 'taken';
}

/** Handles a heartbeat. */
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
  // An old heartbeat that arrives late must not keep a dead instance in
  // routing.
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
 * Whether an instance that reported that it leaves now reports that it stays,
 * for example after an operator changed their mind. Without this it would get
 * no work until it is restarted. An instance that the list reports as leaving,
 * or that has sent a goodbye, stays excluded.
 */
function isLeavingCancelled(
  record: MemberRecord,
  heartbeat: MemberHeartbeat,
): boolean {
  if (!record.reportedLeaving || heartbeat.leaving) return false;
  return record.listed !== 'leaving' && !record.sentGoodbye;
}

/** Handles a goodbye. */
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

/** Handles a broken session with an instance. */
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
