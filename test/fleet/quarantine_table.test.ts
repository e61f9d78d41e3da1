import {afterEach, beforeEach, expect, test} from 'vitest';
import {createQuarantineTable} from '../../platform/quarantine_table';
import {createStoreClient} from '../../platform/store_client';
import {startHostStore, type HostStore} from './fixtures/host_store';

const TIMEOUT = 2_000;

let store: HostStore;

beforeEach(async () => {
  store = await startHostStore();
});

afterEach(() => store.close());

function openTable() {
  return createQuarantineTable(createStoreClient(store.address));
}

test('one of two processes claims a trial, and the other one once it is released', async () => {
  const [one, other] = [openTable(), openTable()];
  const claims = await Promise.all([
    one.claimTrial('request', 'one', TIMEOUT),
    other.claimTrial('request', 'other', TIMEOUT),
  ]);
  expect(claims.map(claim => claim.unwrap()).sort()).toEqual([false, true]);
  await one.removeTrial('request', TIMEOUT);
  const again = await other.claimTrial('request', 'other', TIMEOUT);
  expect(again.unwrap()).toBe(true);
});

test('a row that one process writes is read by another until it is removed', async () => {
  const [one, other] = [openTable(), openTable()];
  await one.put('request', TIMEOUT);
  const written = (await other.readAll(TIMEOUT)).unwrap();
  expect(written.changes).toEqual([{suspect: 'request', isStored: true}]);
  await one.remove('request', TIMEOUT);
  const followed = await other.follow(written.revision, 100, TIMEOUT);
  expect(followed.unwrap().changes).toEqual([
    {suspect: 'request', isStored: false},
  ]);
});
