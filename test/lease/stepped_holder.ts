import {
  createLease,
  type HeldLease,
  type Lease,
  type LeaseEffect,
  type LeaseFlow,
  type LeaseReply,
} from '@hibiscusbeam/core';
import * as fc from 'fast-check';
import {
  tableFault,
  type SteppedTable,
  type TableFault,
} from '../fixtures/stepped_table';
import {replyTo} from './lease_flow';

export const KEY = 'leases/engine-1';
export const DURATION = 1_000;
/** Two clocks that differ by 4% drift 40 ms apart over the duration. */
export const MARGIN = 45;

/** Fault and timing of one call of a holder. */
export interface HolderCall {
  readonly fault: TableFault;
  /** Milliseconds that pass before the call reaches the table. */
  readonly elapsed: number;
  /** Whether the reply is delayed until the holder's next call. */
  readonly slowReply: boolean;
}

/** Arbitrary calls that are delayed by `elapsed` milliseconds. */
export function arbitraryCall(
  elapsed: fc.Arbitrary<number>,
): fc.Arbitrary<HolderCall> {
  return fc.record({fault: tableFault, elapsed, slowReply: fc.boolean()});
}

/** A holder whose flow is stepped by a test; its clock runs at `rate`. */
export interface SteppedHolder {
  readonly lease: Lease;
  readonly begin: (action: 'acquire' | 'renew' | 'release') => void;
  readonly advanceCall: (now: number, call: HolderCall) => void;
  readonly isDone: () => boolean;
  readonly mayAct: (now: number) => boolean;
}

/** Creates a holder that has not started a flow. */
export function createSteppedHolder(
  table: SteppedTable,
  name: string,
  rate: number,
): SteppedHolder {
  const lease = createLease({
    key: KEY,
    holder: name,
    token: `token of ${name}`,
    duration: DURATION,
    margin: MARGIN,
  });
  let flow: LeaseFlow<HeldLease | void> | undefined;
  let effect: LeaseEffect | undefined;
  let waiting: LeaseReply | undefined;

  function advance(reply: LeaseReply): void {
    waiting = undefined;
    const next = flow?.next(reply);
    effect = next === undefined || next.done ? undefined : next.value;
  }

  return {
    lease,
    begin: action => {
      flow = lease[action]();
      waiting = undefined;
      const first = flow.next();
      effect = first.done === true ? undefined : first.value;
    },
    advanceCall: (now, call) => {
      if (effect === undefined) return;
      if (waiting !== undefined) return advance(waiting);
      const reply = replyTo(table, effect, now * rate, call.fault);
      if (call.slowReply && reply.kind !== 'clock') waiting = reply;
      else advance(reply);
    },
    isDone: () => effect === undefined,
    mayAct: now => lease.mayAct(now * rate).kind === 'mayAct',
  };
}
