import {
  createGroupCommit,
  type CommitOutcome,
  type MemberResult,
  type TableTransaction,
} from '@hibiscusbeam/core';
import * as fc from 'fast-check';
import {Err, Ok} from 'ts-results';
import {describe, expect, test} from 'vitest';
import {propertySettings} from '../fixtures/property_settings';
import {createFakeTable} from './fake_table';

const MAX_ROWS = 5;
const WINDOW = 5;
const LOST = Err({kind: 'replyLost', detail: ''} as const);
const DOWN = Err({kind: 'unavailable', detail: ''} as const);

function claimOf(member: number, key: string): TableTransaction {
  return {
    conditions: [{kind: 'absent', key}],
    writes: [{kind: 'put', key, value: member}],
  };
}

const members = fc.array(
  fc.record({
    key: fc.nat(12),
    at: fc.nat(20),
    rows: fc.integer({min: 1, max: 2}),
  }),
  {minLength: 1, maxLength: 30},
);
const faults = fc.array(
  fc.constantFrom('none', 'none', 'none', 'lostAfter', 'lostBefore', 'down'),
  {maxLength: 20},
);

// Two entries claim the same key within one window. If both claims went into
// one transaction, both would be reported as successful and the call would run
// twice.
describe('group commit', () => {
  test('gives each member exactly one result and each key one winner', () => {
    fc.assert(
      fc.property(
        members,
        faults,
        fc.integer({min: 1, max: 3}),
        (chosen, failing, inFlight) => {
          const table = createFakeTable();
          const group = createGroupCommit({
            maximumRows: MAX_ROWS,
            window: WINDOW,
            maximumInFlight: inFlight,
          });
          const results = new Map<number, MemberResult['result']>();
          const pending = [...failing];
          function apply(transaction: TableTransaction) {
            const fault = pending.shift() ?? 'none';
            if (fault === 'down') return DOWN;
            if (fault === 'lostBefore') return LOST;
            const outcome: CommitOutcome = table.commit(transaction);
            return fault === 'lostAfter' ? LOST : Ok(outcome);
          }
          for (let now = 0; now < 100; now += 1) {
            chosen.forEach(({key, at, rows}, member) => {
              if (at !== now) return;
              const first = claimOf(member, `row-${key}`);
              const second = claimOf(member, `row-${key + 1}`);
              const parts = rows === 1 ? [first] : [first, second];
              group.submit(
                member,
                {
                  conditions: parts.flatMap(part => part.conditions),
                  writes: parts.flatMap(part => part.writes),
                },
                now,
              );
            });
            for (const {batch, transaction} of group.takeDue(now)) {
              expect(transaction.writes.length).toBeLessThanOrEqual(MAX_ROWS);
              const written = transaction.writes.map(({key}) => key);
              expect(new Set(written).size).toBe(written.length);
              const reply = apply(transaction);
              for (const {member, result} of group.settle(batch, reply)) {
                expect(results.has(member)).toBe(false);
                results.set(member, result);
              }
              expect(group.settle(batch, reply)).toEqual([]);
            }
          }
          expect(results.size).toBe(chosen.length);
          expect(group.nextDue()).toBeUndefined();
          chosen.forEach(({key, rows}, member) => {
            const result = results.get(member)!;
            const keys = rows === 1 ? [key] : [key, key + 1];
            const holds = keys.every(
              row => table.read(`row-${row}`)?.value === member,
            );
            if (result.err) return;
            expect(holds).toBe(result.val.kind === 'committed');
            if (result.val.kind !== 'conditionFailed') return;
            const named = result.val.failed.map(row => row.key);
            const own = keys.map(row => `row-${row}`);
            expect(named.length).toBeGreaterThan(0);
            expect(own).toEqual(expect.arrayContaining(named));
          });
        },
      ),
      propertySettings(1500),
    );
  });

  test('fails all members of a batch whose failure names none of them', () => {
    const group = createGroupCommit({
      maximumRows: MAX_ROWS,
      window: 0,
      maximumInFlight: 1,
    });
    group.submit(1, claimOf(1, 'row'), 0);
    const [batch] = group.takeDue(0);
    const reply = Ok({kind: 'conditionFailed', failed: []} as const);
    const results = group.settle(batch!.batch, reply);
    expect(results.map(({result}) => result.ok)).toEqual([false]);
  });
});
