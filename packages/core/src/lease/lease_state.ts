import {Err, Ok, type Result} from 'ts-results';
import type {Milliseconds, MonotonicInstant} from '../types';
import type {LeaseRow} from './lease_row';
import type {HeldLease, LeaseError, LeaseSettings} from './types';

/** Max writes whose send time is kept. */
const MAX_TRACKED_WRITES = 16;

/** State that one holder keeps between flows. */
export interface LeaseState {
  held: HeldLease | undefined;
  /** The row's version after this holder's last write, if known. */
  rowVersion: number | undefined;
  /** Version of another holder's row, and when it was first seen. */
  observed:
    {readonly version: number; readonly since: MonotonicInstant} | undefined;
  /** Time right before each write was sent, by write number. */
  readonly sentAt: Map<number, MonotonicInstant>;
  lastWrite: number;
  /** Number of the last flow that began. */
  lastFlow: number;
}

/** Creates the state of a lease that was never held. */
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

/**
 * Records a new write and the time right before it is sent; returns its number.
 */
export function recordWrite(
  leaseState: LeaseState,
  now: MonotonicInstant,
): number {
  leaseState.lastWrite += 1;
  leaseState.sentAt.set(leaseState.lastWrite, now);
  leaseState.sentAt.delete(leaseState.lastWrite - MAX_TRACKED_WRITES);
  return leaseState.lastWrite;
}

/** Records that the row contains this holder's write number `write`. */
export function recordHeld(
  leaseState: LeaseState,
  settings: LeaseSettings,
  write: number,
  fencing: number,
  rowVersion: number | undefined,
): Result<HeldLease, LeaseError> {
  const sentAt = leaseState.sentAt.get(write);
  if (sentAt === undefined) return Err({kind: 'contended'});
  // The write takes effect after it was sent, so others start counting later
  // than this instant. If the lease were counted from the reply, a slow reply
  // would leave two holders at once.
  const until = sentAt + settings.duration - settings.margin;
  leaseState.held = {fencing, until};
  leaseState.rowVersion = rowVersion;
  leaseState.observed = undefined;
  return Ok(leaseState.held);
}

/** Records that this holder no longer has the lease. */
export function recordLost(leaseState: LeaseState): void {
  leaseState.held = undefined;
  leaseState.rowVersion = undefined;
}

/**
 * Time until the row may be taken over. It is counted on this process's own
 * clock from when the row was first seen in its current version.
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
  // A renewal changes the version and restarts the wait. Otherwise the lease
  // could be taken over from a live holder, and there would be two holders.
  return Math.max(0, leaseState.observed.since + row.value.duration - now);
}
