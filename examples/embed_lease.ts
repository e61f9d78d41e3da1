// Two workers share one lease over a table in memory. The first one freezes
// past its lease; the second one takes over under a higher fencing number, and
// the first one sees before its next use that it must not act.
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
const DURATION = 10_000;
const MARGIN = 500;

const rows = new Map<string, TableRow>();
let now = 0;

function holds(condition: TableCondition): boolean {
  const row = rows.get(condition.key);
  if (condition.kind === 'absent') return row === undefined;
  return row?.version === condition.version;
}

function reply(effect: LeaseEffect): LeaseReply {
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

/** Drives a flow; a process would await its table service here. */
function run<Outcome>(
  flow: Generator<LeaseEffect, Outcome, LeaseReply>,
): Outcome {
  let step = flow.next();
  while (!step.done) step = flow.next(reply(step.value));
  return step.value;
}

function createWorker(holder: string): Lease {
  return createLease({
    key: KEY,
    holder,
    token: `start of ${holder}`,
    duration: DURATION,
    margin: MARGIN,
  });
}

function show(what: string, value: unknown): void {
  console.log(
    `${String(now).padStart(6)} ms  ${what}: ${JSON.stringify(value)}`,
  );
}

const first = createWorker('first');
const second = createWorker('second');

show('first acquires', run(first.acquire()).val);
show('second tries', run(second.acquire()).val);
now += 4_000;
show('first renews', run(first.renew()).val);
show('first may act', first.mayAct(now));
show('second tries', run(second.acquire()).val);

// The first worker freezes.
now += DURATION;
show('second acquires', run(second.acquire()).val);
show('first wakes, may act', first.mayAct(now));
show('first renews', run(first.renew()).val);
show('second releases', run(second.release()).ok);
show('first acquires', run(first.acquire()).val);
