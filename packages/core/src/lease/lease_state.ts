import {Err, Ok, type Result} from 'ts-results';
import type {Milliseconds, MonotonicInstant} from '../types';
import type {LeaseRow} from './lease_row';
import type {HeldLease, LeaseError, LeaseSettings} from './types';

/** Most writes of which the instant of sending is remembered. */
const MAX_TRACKED_WRITES = 16;

/** What one holder remembers of its lease between flows. */
export interface LeaseState {
  held: HeldLease | undefined;
  /** The row's version after our last write, where known. */
  rowVersion: number | undefined;
  /** Since when another holder's row was seen with this version. */
  observed:
    {readonly version: number; readonly since: MonotonicInstant} | undefined;
  /** When each of our writes was about to be sent. */
  readonly sentAt: Map<number, MonotonicInstant>;
  lastWrite: number;
  /** Number of the last flow that began. */
  lastFlow: number;
}

/** Memory of a lease that was never held. */
export function createLeaseState(): LeaseState {
  return {
    held: undefined,
    rowVersion: undefined,
    observed: undefined,
    sentAt: new Map(),
    lastWrite: 0,
    lastFlow: 0,
  };
}

/** Notes a new write with the instant before it is sent. */
export function recordWrite(
  leaseState: LeaseState,
  now: MonotonicInstant,
): number {
  leaseState.lastWrite += 1;
  leaseState.sentAt.set(leaseState.lastWrite, now);
  leaseState.sentAt.delete(leaseState.lastWrite - MAX_TRACKED_WRITES);
  return leaseState.lastWrite;
}

/** Notes that our write number `write` is in the row. */
export function recordHeld(
  leaseState: LeaseState,
  settings: LeaseSettings,
  write: number,
  fencing: number,
  rowVersion: number | undefined,
): Result<HeldLease, LeaseError> {
  const sentAt = leaseState.sentAt.get(write);
  if (sentAt === undefined) return Err({kind: 'contended'});
  // Guards against a lease that its holder believes longer than others do:
  // the write took effect after it was sent, so others start counting later
  // than this instant. Counted from the reply, a slow reply would show as two
  // holders at once.
  const until = sentAt + settings.duration - settings.margin;
  leaseState.held = {fencing, until};
  leaseState.rowVersion = rowVersion;
  leaseState.observed = undefined;
  return Ok(leaseState.held);
}

/** Notes that the lease is not ours. */
export function recordLost(leaseState: LeaseState): void {
  leaseState.held = undefined;
  leaseState.rowVersion = undefined;
}

/**
 * How long to wait until the row may be taken over, counted on our own clock
 * from when we first saw it as it stands.
 */
export function takeoverDelay(
  leaseState: LeaseState,
  settings: LeaseSettings,
  row: LeaseRow,
  now: MonotonicInstant,
): Milliseconds {
  if (row.value.state === 'released') return 0;
  if (row.value.token === settings.token) return 0;
  if (leaseState.observed?.version !== row.version) {
    leaseState.observed = {version: row.version, since: now};
  }
  // Guards against taking over from a live holder: it would show as two
  // holders. Whoever renews changes the version, which starts the wait anew.
  return Math.max(0, leaseState.observed.since + row.value.duration - now);
}
