import type {
  LeaseEffect,
  LeaseReply,
  MonotonicInstant,
} from '@hibiscusbeam/core';
import type {SteppedTable, TableFault} from '../fixtures/stepped_table';

/** Replies to one effect of a lease flow. */
export function replyTo(
  table: SteppedTable,
  effect: LeaseEffect,
  now: MonotonicInstant,
  fault: TableFault = 'none',
): LeaseReply {
  switch (effect.kind) {
    case 'readClock':
      return {kind: 'clock', now};
    case 'readRow':
      return table.read(effect.key, fault);
    case 'commit':
      return table.commit(effect.transaction, fault);
  }
}

/** Runs a flow to its end; `faults` apply to its commits one after another. */
export function runFlow<Outcome>(
  table: SteppedTable,
  flow: Generator<LeaseEffect, Outcome, LeaseReply>,
  clock: () => MonotonicInstant,
  faults: readonly TableFault[] = [],
): Outcome {
  const left = [...faults];
  let step = flow.next();
  while (!step.done) {
    const fault = step.value.kind === 'commit' ? left.shift() : undefined;
    step = flow.next(replyTo(table, step.value, clock(), fault));
  }
  return step.value;
}
