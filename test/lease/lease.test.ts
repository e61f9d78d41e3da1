import {createLease, type Lease, type LeaseSettings} from '@hibiscusbeam/core';
import {describe, expect, test} from 'vitest';
import {createSteppedTable} from '../fixtures/stepped_table';
import {runFlow} from './lease_flow';

const KEY = 'leases/engine-1';
const DURATION = 1_000;
const MARGIN = 100;

function createHolder(
  holder: string,
  more: Partial<LeaseSettings> = {},
): Lease {
  return createLease({
    key: KEY,
    holder,
    token: `token of ${holder}`,
    duration: DURATION,
    margin: MARGIN,
    ...more,
  });
}

describe('a lease', () => {
  // If one lost reply of a renewal counted as a lost lease, the agent would
  // stop giving orders for a whole duration although the platform works.
  test('survives the lost reply of a renewal', () => {
    const table = createSteppedTable();
    const lease = createHolder('first');
    runFlow(table, lease.acquire(), () => 0);
    const renewed = runFlow(table, lease.renew(), () => 500, ['lost']);
    expect(renewed.ok).toBe(true);
    expect(lease.mayAct(1_300).kind).toBe('mayAct');
  });

  test('survives a renewal that never arrived', () => {
    const table = createSteppedTable();
    const lease = createHolder('first');
    runFlow(table, lease.acquire(), () => 0);
    const renewed = runFlow(table, lease.renew(), () => 500, ['dropped']);
    expect(renewed.ok).toBe(true);
    expect(lease.mayAct(1_300).kind).toBe('mayAct');
  });

  // If the first holder counted its slow write from the reply and the second
  // one from the write, two agents would give orders at once.
  test('counts from before the write was sent', () => {
    const table = createSteppedTable();
    const lease = createHolder('first');
    let now = 0;
    const acquired = runFlow(table, lease.acquire(), () => (now += 150));
    expect(acquired.ok).toBe(true);
    // Clock readings: read 150, check 300, sent 450, reply 600.
    const {until} = acquired.unwrap();
    expect(until).toBeLessThanOrEqual(450 + DURATION - MARGIN);
  });

  test('ends one margin before others may take it over', () => {
    const table = createSteppedTable();
    const first = createHolder('first');
    const second = createHolder('second');
    runFlow(table, first.acquire(), () => 0);
    const early = runFlow(table, second.acquire(), () => 0);
    expect(early.val).toMatchObject({kind: 'heldByOther', retryAfter: 1_000});
    expect(first.mayAct(DURATION - MARGIN - 1).kind).toBe('mayAct');
    expect(first.mayAct(DURATION - MARGIN)).toEqual({
      kind: 'mustNotAct',
      reason: 'ranOut',
    });
    const late = runFlow(table, second.acquire(), () => DURATION);
    expect(late.unwrap().fencing).toBe(2);
  });

  test('can be acquired immediately after a release, with a higher number', () => {
    const table = createSteppedTable();
    const first = createHolder('first');
    const second = createHolder('second');
    runFlow(table, first.acquire(), () => 0);
    expect(runFlow(table, first.release(), () => 1, ['lost']).ok).toBe(true);
    expect(first.mayAct(2).kind).toBe('mustNotAct');
    const acquired = runFlow(table, second.acquire(), () => 3);
    expect(acquired.unwrap().fencing).toBe(2);
  });

  test('reports a platform outage and stays held until it expires', () => {
    const table = createSteppedTable();
    const lease = createHolder('first');
    runFlow(table, lease.acquire(), () => 0);
    const renewed = runFlow(table, lease.renew(), () => 500, ['unavailable']);
    expect(renewed.val).toMatchObject({kind: 'platformUnavailable'});
    expect(lease.mayAct(899).kind).toBe('mayAct');
    expect(lease.mayAct(900).kind).toBe('mustNotAct');
  });

  test('can be renewed after it expired if nobody acquired it', () => {
    const table = createSteppedTable();
    const lease = createHolder('first');
    runFlow(table, lease.acquire(), () => 0);
    const renewed = runFlow(table, lease.renew(), () => 5_000);
    expect(renewed.unwrap()).toEqual({fencing: 1, until: 5_900});
  });

  // If a replaced agent could renew the lease forever, its successor would
  // never give an order.
  test('is not renewed once an additional condition fails', () => {
    const table = createSteppedTable();
    const put = {kind: 'put', key: 'agents/a', value: 1} as const;
    table.commit({conditions: [], writes: [put]}, 'none');
    const lease = createHolder('first', {
      conditions: [{kind: 'versionIs', key: 'agents/a', version: 1}],
    });
    expect(runFlow(table, lease.acquire(), () => 0).ok).toBe(true);
    table.commit({conditions: [], writes: [put]}, 'none');
    const renewed = runFlow(table, lease.renew(), () => 10);
    expect(renewed.val).toEqual({kind: 'replaced'});
    expect(lease.mayAct(11).kind).toBe('mustNotAct');
  });

  test('rejects a malformed row', () => {
    const table = createSteppedTable();
    const put = {kind: 'put', key: KEY, value: 'other'} as const;
    table.commit({conditions: [], writes: [put]}, 'none');
    const acquired = runFlow(table, createHolder('first').acquire(), () => 0);
    expect(acquired.val).toMatchObject({kind: 'malformedRow'});
  });
});
