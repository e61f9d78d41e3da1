import * as fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {propertySettings} from '../fixtures/property_settings';
import {createSteppedTable, type SteppedTable} from '../fixtures/stepped_table';
import {
  arbitraryCall,
  createSteppedHolder,
  DURATION,
  KEY,
  type HolderCall,
  type SteppedHolder,
} from './stepped_holder';

const RATES = [0.98, 1, 1.02];

/** A holder starts or continues a flow for some calls. */
interface Step {
  readonly holder: number;
  readonly action: 'acquire' | 'renew' | 'release' | 'resume' | 'land';
  readonly holderCalls: readonly HolderCall[];
}

const elapsed = fc.oneof(
  {weight: 8, arbitrary: fc.nat({max: 20})},
  {weight: 1, arbitrary: fc.nat({max: 500})},
  {weight: 1, arbitrary: fc.integer({min: DURATION - 60, max: DURATION + 40})},
);

const calls = fc.oneof(
  fc.array(arbitraryCall(elapsed), {minLength: 6, maxLength: 8}),
  fc.array(arbitraryCall(elapsed), {minLength: 1, maxLength: 5}),
);

const step: fc.Arbitrary<Step> = fc.record({
  holder: fc.nat({max: RATES.length - 1}),
  action: fc.constantFrom<Step['action']>(
    'acquire',
    'acquire',
    'acquire',
    'renew',
    'renew',
    'release',
    'resume',
    'resume',
    'land',
  ),
  holderCalls: calls,
});

const steps = fc.array(step, {minLength: 5, maxLength: 25});

type Check = (holders: readonly SteppedHolder[], now: number) => void;

function runSteps(taken: readonly Step[], check: Check): SteppedTable {
  const table = createSteppedTable();
  const holders = RATES.map((rate, index) =>
    createSteppedHolder(table, `agent-${index}`, rate),
  );
  let now = 0;
  for (const {holder: index, action, holderCalls} of taken) {
    const holder = holders[index];
    if (holder === undefined) throw new Error('no such holder');
    if (action === 'land') table.applyLate();
    else if (action !== 'resume') holder.begin(action);
    check(holders, now);
    for (const call of holderCalls) {
      now += call.elapsed;
      check(holders, now);
      holder.advanceCall(now, call);
      check(holders, now);
    }
  }
  return table;
}

const checkOneActs: Check = (holders, now) => {
  const acting = holders.filter(holder => holder.mayAct(now));
  if (acting.length > 1) throw new Error('two act at once');
};

describe('the holders of one lease', () => {
  // An agent is paused, or its renewal is slow or lost, while another agent
  // with a slightly faster or slower clock takes over the lease. If both acted,
  // an engine would load and unload in turns.
  test('never act at the same time', () => {
    fc.assert(
      fc.property(steps, taken => {
        runSteps(taken, checkOneActs);
      }),
      propertySettings(1_500),
    );
  });

  // The same failure at the end of the lease: the first holder's calls take up
  // to half of the duration, and the second one tries to acquire it all the
  // time.
  test('never overlap if one is slow and the other keeps retrying', () => {
    const slow = fc.oneof(fc.nat({max: 5}), fc.nat({max: 500}));
    const renewals = fc.array(
      fc.array(arbitraryCall(slow), {minLength: 2, maxLength: 8}),
      {minLength: 1, maxLength: 4},
    );
    fc.assert(
      fc.property(renewals, fc.boolean(), (taken, firstIsFast) => {
        const table = createSteppedTable();
        const rates = firstIsFast ? [1.02, 0.98] : [0.98, 1.02];
        const holders = rates.map((rate, index) =>
          createSteppedHolder(table, `agent-${index}`, rate),
        );
        const [first, second] = holders;
        if (first === undefined || second === undefined) throw new Error();
        runToEnd(first, 0, 'acquire');
        let now = 0;
        const passTime = (duration: number): void => {
          for (let passed = 0; passed <= duration; passed += 10) {
            runToEnd(second, now + passed, 'acquire');
            checkOneActs(holders, now + passed);
          }
          now += duration;
        };
        for (const renewal of taken) {
          first.begin('renew');
          for (const call of renewal) {
            passTime(call.elapsed);
            first.advanceCall(now, call);
            checkOneActs(holders, now);
          }
        }
        passTime(DURATION + 100);
      }),
      propertySettings(100),
    );
  });

  // If a successor got the same fencing number as a replaced agent, a target
  // could not tell their orders apart.
  test('never act with the same fencing number', () => {
    fc.assert(
      fc.property(steps, taken => {
        const holderOf = new Map<number, SteppedHolder>();
        const table = runSteps(taken, (holders, now) => {
          holders.forEach((holder, index) => {
            const answer = holder.lease.mayAct(now * (RATES[index] ?? 1));
            if (answer.kind !== 'mayAct') return;
            const known = holderOf.get(answer.fencing) ?? holder;
            if (known !== holder) throw new Error('two share a number');
            holderOf.set(answer.fencing, holder);
          });
        });
        const numbers = table
          .history(KEY)
          .map(row => (row.value as {fencing: number}).fencing);
        expect(numbers).toEqual([...numbers].sort((a, b) => a - b));
      }),
      propertySettings(1_000),
    );
  });
});

function runToEnd(
  holder: SteppedHolder,
  now: number,
  action: 'acquire' | 'renew',
): void {
  holder.begin(action);
  while (!holder.isDone()) {
    holder.advanceCall(now, {fault: 'none', elapsed: 0, slowReply: false});
  }
}
