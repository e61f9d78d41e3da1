import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {createStoreClient, type StoreClient} from '../../platform/store_client';
import {
  eraOf,
  MAX_ERAS,
  toRevision,
  VERSIONS_PER_ERA,
  versionOf,
} from '../../platform/store_revision';
import {startHostStore, type HostStore} from '../fleet/fixtures/host_store';

const TIMEOUT = 1_000;

/** Longer than the timeout of a test. */
const LONG_WAIT = 120_000;

let store: HostStore;
let client: StoreClient;

beforeEach(async () => {
  store = await startHostStore();
  client = createStoreClient(store.address);
});

afterEach(() => store.close());

async function revision(): Promise<number> {
  return (await client.rows('op', TIMEOUT)).unwrap().revision;
}

test('revisions grow when a restored store gives out the same versions again', async () => {
  const copy = store.copy();
  store.write('op', 'config', 1);
  const before = await revision();
  store.restore(copy);
  expect(await revision()).toBeGreaterThan(before);
});

test('a feed does not resume from a version of an earlier era, even if the store has it again', async () => {
  const copy = store.copy();
  store.write('op', 'config', 1);
  const before = await revision();
  store.restore(copy);
  store.write('op', 'config', 2);
  store.write('op', 'other', 3);
  const reply = await client.feed('op', before, 0, TIMEOUT);
  expect(reply.err && reply.val.kind).toBe('historyLost');
});

test('a pending poll ends once any answer shows that the store was restored', async () => {
  const copy = store.copy();
  store.write('op', 'config', 1);
  const waiting = client.feed('op', await revision(), LONG_WAIT, LONG_WAIT);
  store.restore(copy);
  await client.rows('servers', TIMEOUT);
  const reply = await waiting;
  expect(reply.err && reply.val.kind).toBe('historyLost');
});

test.each([
  [0, 0],
  [0, VERSIONS_PER_ERA - 1],
  [3, 17],
  [MAX_ERAS - 1, VERSIONS_PER_ERA - 1],
])(
  'era %d and version %d are recovered from their revision',
  (era, version) => {
    const joined = toRevision(era, version);
    expect(Number.isSafeInteger(joined)).toBe(true);
    expect(eraOf(joined)).toBe(era);
    expect(versionOf(joined)).toBe(version);
  },
);

test.each(['-1', 'second', '1.5', String(MAX_ERAS)])(
  'an answer with the era %j is malformed, and the error names the header',
  async era => {
    const server = createServer((_, response) =>
      response.setHeader('Store-Era', era).end('{}'),
    );
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const {port} = server.address() as AddressInfo;
    const reply = await createStoreClient(`127.0.0.1:${port}`).rows('op', 500);
    server.close();
    expect(reply.val).toEqual({
      kind: 'malformed',
      detail: 'store-era is not a valid era',
    });
  },
);
