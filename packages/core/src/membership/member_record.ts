import type {Incarnation, MonotonicInstant} from '../types';
import type {ChangeLog} from './change_log';
import {
  INITIAL_HOLD_DOWN,
  FORGET_FLAPS_AFTER,
  MAX_HOLD_DOWN,
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
  lastReceivedAt: MonotonicInstant | undefined;
  /** Since when it is heard without a gap; undefined after a fall. */
  continuousSince: MonotonicInstant | undefined;
  lastSequence: number;
  /** Falls from live that are not forgotten. */
  flaps: number;
  lastFlapAt: MonotonicInstant;
  /** What the platform's list last said of it. */
  listed: 'live' | 'leaving' | undefined;
  /** Said goodbye itself, in this life. */
  sentGoodbye: boolean;
  /** Its last heartbeat in this life said that it is leaving. */
  reportedLeaving: boolean;
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
    lastReceivedAt: undefined,
    continuousSince: undefined,
    lastSequence: -1,
    flaps: 0,
    lastFlapAt: now,
    listed: undefined,
    sentGoodbye: false,
    reportedLeaving: false,
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
  if (falls) recordFlap(record, now);
  record.liveness = liveness;
  record.since = now;
  const {instance} = record.identity;
  log.add({instance, incarnation: record.incarnation, liveness});
}

/** Notes that an instance was heard; it is live once heard for long enough. */
export function recordContact(
  record: MemberRecord,
  now: MonotonicInstant,
  log: ChangeLog,
): void {
  const silence =
    record.lastReceivedAt === undefined
      ? Infinity
      : now - record.lastReceivedAt;
  const gap = silence >= SUSPECT_AFTER || record.continuousSince === undefined;
  if (gap) record.continuousSince = now;
  record.lastReceivedAt = now;
  // Guards against an instance that comes and goes: it would show as work that
  // is sent there and fails each time. After each fall it must be heard longer.
  const contactTime = now - (record.continuousSince ?? now);
  if (contactTime < holdDownTime(record, now)) return;
  setLiveness(record, 'live', now, log);
}

/** Makes a record that of a later life of the same instance. */
export function beginIncarnation(
  record: MemberRecord,
  incarnation: Incarnation,
  now: MonotonicInstant,
  log: ChangeLog,
): void {
  record.incarnation = incarnation;
  record.lastReceivedAt = undefined;
  record.lastSequence = -1;
  record.sentGoodbye = false;
  record.reportedLeaving = false;
  setLiveness(record, 'joining', now, log);
}

/** The record as others may read it. */
export function memberOf(record: MemberRecord): Member {
  const {identity, incarnation, liveness, since} = record;
  return {...identity, incarnation, liveness, since};
}

function recordFlap(record: MemberRecord, now: MonotonicInstant): void {
  record.flaps = recentFlaps(record, now) + 1;
  record.lastFlapAt = now;
  record.continuousSince = undefined;
}

function holdDownTime(record: MemberRecord, now: MonotonicInstant): number {
  const falls = recentFlaps(record, now);
  if (falls === 0) return 0;
  return Math.min(MAX_HOLD_DOWN, INITIAL_HOLD_DOWN * 2 ** (falls - 1));
}

function recentFlaps(record: MemberRecord, now: MonotonicInstant): number {
  return now - record.lastFlapAt >= FORGET_FLAPS_AFTER ? 0 : record.flaps;
}
