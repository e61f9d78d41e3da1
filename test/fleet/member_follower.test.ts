import {Err, Ok} from 'ts-results';
import {afterEach, beforeEach, expect, test, vi} from 'vitest';
import {createFailurePause} from '../../packages/fleet/src/link/failure_pause';
import {createMemberFollower} from '../../packages/fleet/src/link/member_follower';
import type {
  HostError,
  MemberDescription,
  MemberReading,
  MemberTable,
} from '../../packages/fleet/src/ports';
import {errorFreeLog} from '../fixtures/error_free_log';

/** Longer than the time in which members have to write their rows again. */
const LONG_WAIT = 60_000;

const LOST: HostError = {kind: 'historyLost', detail: ''};

let stopped: AbortController;

beforeEach(() => {
  stopped = new AbortController();
  vi.useFakeTimers();
});

afterEach(() => {
  stopped.abort();
  vi.useRealTimers();
});

function member(instance: string): MemberDescription {
  return {
    instance,
    role: 'entry',
    zone: 'north',
    address: `${instance}:1`,
    life: `${instance}-life`,
  };
}

/** A follower of a table that the test restores without some rows. */
function startFollower(instances: readonly string[]) {
  let rows = new Map(instances.map(name => [name, member(name)]));
  let era = 1;
  let reportedEra = era;
  let puts = 0;
  let refusals = 0;
  const reading = (changes: MemberReading['changes']): MemberReading => ({
    revision: era,
    era,
    storeTime: 0,
    unusable: [],
    changes,
  });
  const table: MemberTable = {
    put: row => {
      puts += 1;
      if (refusals > 0) {
        refusals -= 1;
        return Promise.resolve(Err({kind: 'unavailable', detail: ''}));
      }
      rows.set(row.instance, row);
      return Promise.resolve(Ok.EMPTY);
    },
    remove: () => Promise.resolve(Ok.EMPTY),
    readAll: () => {
      reportedEra = era;
      const all = [...rows.values()];
      const changes = all.map(row => ({instance: row.instance, member: row}));
      return Promise.resolve(Ok(reading(changes)));
    },
    follow: async () => {
      await new Promise(resolve => setTimeout(resolve, 1_000));
      return reportedEra === era ? Ok(reading([])) : Err(LOST);
    },
  };
  const follower = createMemberFollower({
    self: member('self'),
    table,
    clock: () => Date.now(),
    log: errorFreeLog,
    failurePause: createFailurePause(0),
    onChange: () => undefined,
  });
  follower.start(stopped.signal);
  return {
    others: () => follower.others().map(({instance}) => instance),
    puts: () => puts,
    isListed: () => rows.has('self'),
    refuse: (times: number) => (refusals = times),
    restore: (kept: readonly string[]) => {
      rows = new Map(kept.map(name => [name, member(name)]));
      era += 1;
    },
  };
}

test('members whose rows a restored store has lost are kept until they write them again', async () => {
  const {others, restore} = startFollower(['one', 'two']);
  await vi.advanceTimersByTimeAsync(3_000);
  restore(['one']);
  await vi.advanceTimersByTimeAsync(3_000);
  expect(others().sort()).toEqual(['one', 'two']);
  await vi.advanceTimersByTimeAsync(LONG_WAIT);
  expect(others()).toEqual(['one']);
});

test('a process writes its own row again after a restore, until the store accepts it', async () => {
  const {puts, isListed, refuse, restore} = startFollower([]);
  await vi.advanceTimersByTimeAsync(3_000);
  expect(puts()).toBe(1);
  restore([]);
  refuse(3);
  await vi.advanceTimersByTimeAsync(LONG_WAIT);
  expect(isListed()).toBe(true);
  expect(puts()).toBe(5);
});
