// Two workers compete for one lease in an in-memory table. The first one
// freezes until its lease has expired; the second one takes over with a higher
// fencing number, and the first one detects before its next use that it must
// not act.
import {
  createLease,
  type Lease,
  type LeaseEffect,
  type LeaseReply,
  type TableCondition,
  type TableRow,
} from '@hibiscusbeam/core';
import {Ok} from 'ts-results';

const KEY = 'leases/nightly-report';
const DURATION_MS = 10_000;
const MARGIN_MS = 500;

const rows = new Map<string, TableRow>();
let now = 0;

function holds(condition: TableCondition): boolean {
  const row = rows.get(condition.key);
  if (condition.kind === 'absent') return row === undefined;
  return row?.version === condition.version;
}

function executeEffect(effect: LeaseEffect): LeaseReply {
  switch (effect.kind) {
    case 'readClock':
      return {kind: 'clock', now};
    case 'readRow':
      return {kind: 'row', result: Ok(rows.get(effect.key))};
    case 'commit': {
      const failed = effect.transaction.conditions
        .filter(condition => !holds(condition))
        .map(({key}) => ({key, row: rows.get(key)}));
      if (failed.length > 0) {
        return {kind: 'commit', result: Ok({kind: 'conditionFailed', failed})};
      }
      for (const write of effect.transaction.writes) {
        if (write.kind !== 'put') continue;
        const version = (rows.get(write.key)?.version ?? 0) + 1;
        rows.set(write.key, {key: write.key, version, value: write.value});
      }
      return {kind: 'commit', result: Ok({kind: 'committed'})};
    }
  }
}

/** Runs a flow; a real process would await its table service here. */
function runFlow<Outcome>(
  flow: Generator<LeaseEffect, Outcome, LeaseReply>,
): Outcome {
  let step = flow.next();
  while (!step.done) step = flow.next(executeEffect(step.value));
  return step.value;
}

function createWorker(holder: string): Lease {
  return createLease({
    key: KEY,
    holder,
    token: `start of ${holder}`,
    duration: DURATION_MS,
    margin: MARGIN_MS,
  });
}

function show(label: string, value: unknown): void {
  console.log(
    `${String(now).padStart(6)} ms  ${label}: ${JSON.stringify(value)}`,
  );
}

const first = createWorker('first');
const second = createWorker('second');

show('first acquires', runFlow(first.acquire()).val);
show('second tries', runFlow(second.acquire()).val);
now += 4_000;
show('first renews', runFlow(first.renew()).val);
show('first may act', first.mayAct(now));
show('second tries', runFlow(second.acquire()).val);

// The first worker freezes.
now += DURATION_MS;
show('second acquires', runFlow(second.acquire()).val);
show('first resumes, may act', first.mayAct(now));
show('first renews', runFlow(first.renew()).val);
show('second releases', runFlow(second.release()).ok);
show('first acquires', runFlow(first.acquire()).val);
