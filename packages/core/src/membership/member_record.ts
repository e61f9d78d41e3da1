import type {Incarnation, MonotonicInstant} from '../types';
import type {ChangeLog} from './change_log';
import {
  INITIAL_HOLD_DOWN,
  FORGET_FLAPS_AFTER,
  MAX_HOLD_DOWN,
  SUSPECT_AFTER,
} from './bounds';
import type {Liveness, Member, MemberIdentity} from './types';

/** State of one instance. */
export interface MemberRecord {
  identity: MemberIdentity;
  incarnation: Incarnation;
  liveness: Liveness;
  since: MonotonicInstant;
  /** Undefined until a message of this incarnation arrives. */
  lastReceivedAt: MonotonicInstant | undefined;
  /** Time since which messages arrive without a gap; undefined after a flap. */
  continuousSince: MonotonicInstant | undefined;
  lastSequence: number;
  /** Number of changes from live to another state that still count. */
  flaps: number;
  lastFlapAt: MonotonicInstant;
  /** Last state on the platform's list. */
  listed: 'live' | 'leaving' | undefined;
  /** Whether this incarnation has sent a goodbye. */
  sentGoodbye: boolean;
  /**
   * Whether the last heartbeat of this incarnation reported that it is leaving.
   */
  reportedLeaving: boolean;
}

/** Creates the record of an instance that has not sent a message yet. */
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

/** Changes the liveness of a record and logs the change. */
export function setLiveness(
  record: MemberRecord,
  liveness: Liveness,
  now: MonotonicInstant,
  log: ChangeLog,
): void {
  if (record.liveness === liveness) return;
  const isFlap = record.liveness === 'live' && liveness !== 'leaving';
  if (isFlap) recordFlap(record, now);
  record.liveness = liveness;
  record.since = now;
  const {instance} = record.identity;
  log.add({instance, incarnation: record.incarnation, liveness});
}

/**
 * Records a message of an instance, which becomes live after its hold-down
 * time.
 */
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
  // Without a hold-down, work would go to an instance that keeps failing and
  // returning, and fail each time. Each flap makes the hold-down longer.
  const contactTime = now - (record.continuousSince ?? now);
  if (contactTime < holdDownTime(record, now)) return;
  setLiveness(record, 'live', now, log);
}

/** Resets a record for a later incarnation of the same instance. */
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

/** Returns the public view of a record. */
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
  const flaps = recentFlaps(record, now);
  if (flaps === 0) return 0;
  return Math.min(MAX_HOLD_DOWN, INITIAL_HOLD_DOWN * 2 ** (flaps - 1));
}

function recentFlaps(record: MemberRecord, now: MonotonicInstant): number {
  return now - record.lastFlapAt >= FORGET_FLAPS_AFTER ? 0 : record.flaps;
}
