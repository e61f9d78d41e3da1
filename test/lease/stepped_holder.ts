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

/** What befalls one call of a holder. */
export interface Hop {
  readonly fault: TableFault;
  /** Milliseconds that pass before the call reaches the table. */
  readonly elapsed: number;
  /** Whether the reply waits for the holder's next hop. */
  readonly slowReply: boolean;
}

/** Hops after which `elapsed` milliseconds have passed. */
export function arbitraryHop(elapsed: fc.Arbitrary<number>): fc.Arbitrary<Hop> {
  return fc.record({fault: tableFault, elapsed, slowReply: fc.boolean()});
}

/** A holder whose flow a test steps; its clock runs at `rate`. */
export interface SteppedHolder {
  readonly lease: Lease;
  readonly begin: (action: 'acquire' | 'renew' | 'release') => void;
  readonly proceed: (now: number, hop: Hop) => void;
  readonly isDone: () => boolean;
  readonly mayAct: (now: number) => boolean;
}

/** A holder that has not begun anything. */
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
    proceed: (now, hop) => {
      if (effect === undefined) return;
      if (waiting !== undefined) return advance(waiting);
      const reply = replyTo(table, effect, now * rate, hop.fault);
      if (hop.slowReply && reply.kind !== 'clock') waiting = reply;
      else advance(reply);
    },
    isDone: () => effect === undefined,
    mayAct: now => lease.mayAct(now * rate).kind === 'mayAct',
  };
}
