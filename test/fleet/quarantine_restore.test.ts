import {createQuarantine} from '@hibiscusbeam/core';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {createQuarantineStore} from '../../packages/fleet/src/entry/quarantine_store';
import {createQuarantineTrials} from '../../packages/fleet/src/entry/quarantine_trials';
import {createFailurePause} from '../../packages/fleet/src/link/failure_pause';
import {createQuarantineTable} from '../../platform/quarantine_table';
import {createStoreClient} from '../../platform/store_client';
import {eventually} from './fixtures/host_site';
import {startHostStore, type HostStore} from './fixtures/host_store';
import {errorFreeLog} from '../fixtures/error_free_log';

const TABLE = 'quarantine';
const TRIALS = 'quarantine_trials';
const TIMEOUT = 2_000;

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

/** The quarantine store of an entry; `pollStore` lets it detect a restore. */
async function startEntry() {
  const client = createStoreClient(store.address);
  const table = createQuarantineTable(client);
  const quarantine = createQuarantine();
  let now = 0;
  const trials = createQuarantineTrials({
    table,
    holder: 'entry',
    clock: () => now,
    log: errorFreeLog,
  });
  const quarantineStore = createQuarantineStore({
    table,
    quarantine,
    onKnown: () => undefined,
    onRestore: trials.reclaim,
    failurePause: createFailurePause(0),
    log: errorFreeLog,
    spread: 0,
  });
  quarantineStore.start(stopped.signal);
  await eventually(quarantineStore.isKnown);
  return {
    quarantine,
    trials,
    at: (time: number) => (now = time),
    pollStore: () => client.rows('op', TIMEOUT),
  };
}

test('a quarantine that a store restore has lost stays in force and is stored again', async () => {
  const {quarantine, pollStore} = await startEntry();
  const copy = store.copy();
  store.write(TABLE, 'request', {quarantined: true});
  await eventually(() => quarantine.isQuarantined('request'));
  store.restore(copy);
  await pollStore();
  await eventually(() => store.read(TABLE, 'request') !== undefined);
  expect(quarantine.isQuarantined('request')).toBe(true);
});

test('a quarantine that had ended does not return with a store restore', async () => {
  store.write(TABLE, 'request', {quarantined: true});
  const {quarantine, pollStore} = await startEntry();
  await eventually(() => quarantine.isQuarantined('request'));
  const copy = store.copy();
  store.remove(TABLE, 'request');
  await eventually(() => !quarantine.isQuarantined('request'));
  store.restore(copy);
  await pollStore();
  await eventually(() => store.read(TABLE, 'request') === undefined);
  expect(quarantine.isQuarantined('request')).toBe(false);
});

test('a trial claim that a store restore has lost is written again', async () => {
  const {trials, at, pollStore} = await startEntry();
  const copy = store.copy();
  await trials.claim('request');
  at(10_000);
  expect(await trials.claim('request')).toBe(true);
  store.restore(copy);
  await pollStore();
  await eventually(() => store.read(TRIALS, 'request') !== undefined);
});
