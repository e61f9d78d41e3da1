import type {Milliseconds} from '@hibiscusbeam/core';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {createOperatorFeed} from '../../platform/operator_feed';
import {createStoreClient} from '../../platform/store_client';
import {startHostStore, type HostStore} from '../fleet/fixtures/host_store';

const TIMEOUT: Milliseconds = 1_000;

let store: HostStore;

beforeEach(async () => {
  store = await startHostStore();
});

afterEach(() => store.close());

// Entries that read the name at the same time, or after a restart, must not
// replace an earlier time with a later one.
test('the first recorded time of a naming is kept', async () => {
  const feed = createOperatorFeed(createStoreClient(store.address));
  const named = {model: 'model', version: 2};
  store.write('op', 'version/model', {Model: 'model', Version: 2});
  for (const namedAt of [100, 200]) {
    const reply = await feed.recordNaming({...named, namedAt}, TIMEOUT);
    expect(reply.unwrap()).toBe(namedAt === 100);
  }
  const reading = (await feed.readAll(TIMEOUT)).unwrap();
  expect(reading.namedVersions).toEqual([{...named, namedAt: 100}]);
});

// After a restart of all processes, the bound of a version that was replaced
// within it would be lost.
test('a version that was replaced is read with its recorded time', async () => {
  const feed = createOperatorFeed(createStoreClient(store.address));
  store.write('op', 'version/model', {Model: 'model', Version: 3});
  for (const version of [2, 3]) {
    const named = {model: 'model', version, namedAt: version * 100};
    await feed.recordNaming(named, TIMEOUT);
  }
  const reading = (await feed.readAll(TIMEOUT)).unwrap();
  expect(reading.namedVersions).toEqual([
    {model: 'model', version: 2, namedAt: 200},
    {model: 'model', version: 3, namedAt: 300},
  ]);
});

test('a naming without a record has no time', async () => {
  const feed = createOperatorFeed(createStoreClient(store.address));
  store.write('op', 'version/model', {Model: 'model', Version: 2});
  const reading = (await feed.readAll(TIMEOUT)).unwrap();
  expect(reading.namedVersions).toEqual([
    {model: 'model', version: 2, namedAt: undefined},
  ]);
});

test('without a named version only one table is read', async () => {
  const feed = createOperatorFeed(createStoreClient(store.address));
  await feed.readAll(TIMEOUT);
  expect(store.calls.get('/rows-get')).toBe(1);
});
