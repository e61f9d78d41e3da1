import {afterEach, beforeEach, expect, test} from 'vitest';
import {createEntryQuarantine} from '../../packages/fleet/src/entry/entry_quarantine';
import {createFailurePause} from '../../packages/fleet/src/link/failure_pause';
import {createQuarantineTable} from '../../platform/quarantine_table';
import {createStoreClient} from '../../platform/store_client';
import {eventually} from './fixtures/host_site';
import {startHostStore, type HostStore} from './fixtures/host_store';
import {errorFreeLog} from '../fixtures/error_free_log';

let store: HostStore;
let stopped: AbortController;

beforeEach(async () => {
  store = await startHostStore();
  stopped = new AbortController();
});

afterEach(async () => {
  stopped.abort();
  await store.close();
});

async function startEntry(holder: string) {
  const entry = createEntryQuarantine({
    table: createQuarantineTable(createStoreClient(store.address)),
    holder,
    clock: () => 0,
    log: errorFreeLog,
    metrics: {setQuarantined: () => undefined},
    failurePause: createFailurePause(0),
    spread: 0,
    onKnown: () => undefined,
    onChange: () => undefined,
  });
  entry.quarantineStore.start(stopped.signal);
  await eventually(entry.quarantineStore.isKnown);
  return entry.quarantine;
}

test('a quarantine that no entry has observed on its own is stored', async () => {
  const one = await startEntry('one');
  const other = await startEntry('other');
  const ending = {sentAt: 1, endedAt: 2};
  one.recordEnding(['part'], {life: 'first', ...ending});
  one.recordEnding(['part'], {life: 'second', ...ending});
  other.recordEnding(['part'], {life: 'third', ...ending});
  const records = [one, other].flatMap(entry => entry.changedSince(0, 10).rows);
  for (const record of records) {
    one.merge([record]);
    other.merge([record]);
  }
  expect(one.isQuarantined('part')).toBe(true);
  await eventually(() => store.read('quarantine', 'part') !== undefined);
});
