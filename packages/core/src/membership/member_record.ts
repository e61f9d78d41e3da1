import type {Incarnation, MonotonicInstant} from '../types';
import type {ChangeLog} from './change_log';
import {
  FIRST_HOLD,
  FORGET_FALLS_AFTER,
  LONGEST_HOLD,
  SUSPECT_AFTER,
} from './bounds';
import type {Liveness, Member, MemberIdentity} from './types';

/** What is remembered of one instance. */
export interface MemberRecord {
  identity: MemberIdentity;
  incarnation: Incarnation;
  liveness: Liveness;
  since: MonotonicInstant;
  /** Undefined until heard in this life. */
  lastHeard: MonotonicInstant | undefined;
  /** Since when it is heard without a gap; undefined after a fall. */
  heardSince: MonotonicInstant | undefined;
  lastSequence: number;
  /** Falls from live that are not forgotten. */
  falls: number;
  lastFall: MonotonicInstant;
  /** What the platform's list last said of it. */
  listed: 'live' | 'leaving' | undefined;
  /** Said goodbye itself, in this life. */
  saidGoodbye: boolean;
  /** Its last heartbeat in this life said that it is leaving. */
  saidLeaving: boolean;
}

/** A record of an instance that was not heard yet. */
export function createRecord(
  identity: MemberIdentity,
  now: MonotonicInstant,
): MemberRecord {
  return {
    identity,
    incarnation: 0,
    liveness: 'joining',
    since: now,
    lastHeard: undefined,
    heardSince: undefined,
    lastSequence: -1,
    falls: 0,
    lastFall: now,
    listed: undefined,
    saidGoodbye: false,
    saidLeaving: false,
  };
}

/** Moves a record to another state and logs the change. */
export function setLiveness(
  record: MemberRecord,
  liveness: Liveness,
  now: MonotonicInstant,
  log: ChangeLog,
): void {
  if (record.liveness === liveness) return;
  const falls = record.liveness === 'live' && liveness !== 'leaving';
  if (falls) noteFall(record, now);
  record.liveness = liveness;
  record.since = now;
  const {instance} = record.identity;
  log.add({instance, incarnation: record.incarnation, liveness});
}

/** Notes that an instance was heard; it is live once heard for long enough. */
export function noteHeard(
  record: MemberRecord,
  now: MonotonicInstant,
  log: ChangeLog,
): void {
  const silence =
    record.lastHeard === undefined ? Infinity : now - record.lastHeard;
  const gap = silence >= SUSPECT_AFTER || record.heardSince === undefined;
  if (gap) record.heardSince = now;
  record.lastHeard = now;
  // Guards against an instance that comes and goes: it would show as work that
  // is sent there and fails each time. After each fall it must be heard longer.
  const heardFor = now - (record.heardSince ?? now);
  if (heardFor < holdOf(record, now)) return;
  setLiveness(record, 'live', now, log);
}

/** Makes a record that of a later life of the same instance. */
export function beginLife(
  record: MemberRecord,
  incarnation: Incarnation,
  now: MonotonicInstant,
  log: ChangeLog,
): void {
  record.incarnation = incarnation;
  record.lastHeard = undefined;
  record.lastSequence = -1;
  record.saidGoodbye = false;
  record.saidLeaving = false;
  setLiveness(record, 'joining', now, log);
}

/** The record as others may read it. */
export function memberOf(record: MemberRecord): Member {
  const {identity, incarnation, liveness, since} = record;
  return {...identity, incarnation, liveness, since};
}

function noteFall(record: MemberRecord, now: MonotonicInstant): void {
  record.falls = fallsAt(record, now) + 1;
  record.lastFall = now;
  record.heardSince = undefined;
}

function holdOf(record: MemberRecord, now: MonotonicInstant): number {
  const falls = fallsAt(record, now);
  if (falls === 0) return 0;
  return Math.min(LONGEST_HOLD, FIRST_HOLD * 2 ** (falls - 1));
}

function fallsAt(record: MemberRecord, now: MonotonicInstant): number {
  return now - record.lastFall >= FORGET_FALLS_AFTER ? 0 : record.falls;
}
