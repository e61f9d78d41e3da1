import {afterEach, expect, it} from 'vitest';
import {
  startEngine,
  startOlderSystem,
  startPlainService,
  startPlatform,
} from '@hibiscusbeam/standins';
import type {StandIn} from '@hibiscusbeam/standins';
import {send, sendJson} from './http';

const LISTEN = '127.0.0.1:0';

const running: StandIn[] = [];

async function trackStandIn(standIn: Promise<StandIn>): Promise<string> {
  running.push(await standIn);
  return (await standIn).address;
}

afterEach(async () => {
  for (const standIn of running.splice(0)) await standIn.close();
});

function call(address: string, reference: string) {
  const headers = {'x-attempt': `attempt of ${reference}`};
  return send('POST', `${address}/calls/charge`, {reference}, headers);
}

it('counts a call that took effect though its reply was cut', async () => {
  const address = await trackStandIn(startPlainService({listen: LISTEN}));
  await send('POST', `${address}/faults`, {dropNext: 1, callTime: 0});
  await expect(call(address, 'a')).rejects.toThrow();
  await send('POST', `${address}/faults`, {failNext: 1});
  expect((await call(address, 'b')).status).toBe(500);
  const runs = await sendJson('GET', `${address}/runs`);
  expect(runs).toEqual({runs: {a: 1}});
});

it('swaps the replies of a pair of calls', async () => {
  const address = await trackStandIn(startPlainService({listen: LISTEN}));
  await send('POST', `${address}/faults`, {crossNext: 1, callTime: 0});
  const replies = await Promise.all([call(address, 'a'), call(address, 'b')]);
  const attempts = replies.map(
    reply => (JSON.parse(reply.text) as {attempt: string}).attempt,
  );
  expect(attempts).toEqual(['attempt of b', 'attempt of a']);
});

it('refuses a transaction over more than 100 rows', async () => {
  const address = await trackStandIn(startPlatform({listen: LISTEN}));
  const commit = (count: number) => {
    const keys = Array.from({length: count}, (_, position) => `k/${position}`);
    const conditions = keys.map(key => ({kind: 'absent', key}));
    const writes = keys.map(key => ({kind: 'put', key, value: 1}));
    const transaction = {conditions, writes};
    return send('POST', `${address}/table/commit`, {transaction});
  };
  expect((await commit(101)).status).toBe(400);
  expect((await commit(100)).status).toBe(200);
});

it('shares the leading chunks of a version, and corrupts one as set', async () => {
  const address = await trackStandIn(startPlatform({listen: LISTEN}));
  const publish = async (changes: object) => {
    const version = {model: 'notes', chunkCount: 4, chunkSize: 1_000};
    const body = {...version, ...changes};
    const answer = await sendJson('POST', `${address}/weights/versions`, body);
    return (answer as {versionDigest: string}).versionDigest;
  };
  const chunksOf = async (versionDigest: string) => {
    const url = `${address}/weights/manifests/${versionDigest}`;
    const manifest = await sendJson('GET', url);
    return (manifest as {chunks: {digest: string}[]}).chunks;
  };
  const first = await publish({label: '1', seed: 1});
  const shared = {sharedWith: first, sharedShare: 0.5};
  const second = await publish({label: '2', seed: 2, ...shared});
  const [left, right] = [await chunksOf(first), await chunksOf(second)];
  expect(right.slice(0, 2)).toEqual(left.slice(0, 2));
  expect(right.slice(2)).not.toEqual(left.slice(2));
  await send('POST', `${address}/faults`, {weights: {corruptNext: 1}});
  const url = `${address}/weights/chunks/${left[0]?.digest}`;
  const corrupted = await send('GET', url);
  const whole = await send('GET', url);
  expect(corrupted.text).not.toBe(whole.text);
});

it('stops orders and requests at once for what the older system loses', async () => {
  // The older system loads its version, loses the target, and then a new
  // version is published. If it continued, both systems would send orders to
  // one engine during the switch.
  const platform = await trackStandIn(startPlatform({listen: LISTEN}));
  const engine = await trackStandIn(startEngine({listen: LISTEN, loadTime: 0}));
  const version = {model: 'notes', label: '1', chunkCount: 2, chunkSize: 1_000};
  await send('POST', `${platform}/weights/versions`, {...version, seed: 1});
  const olderSystem = await trackStandIn(
    startOlderSystem({
      listen: LISTEN,
      platform,
      engines: [{target: 'engine-1', address: engine}],
      workspaces: ['bilbao'],
      model: 'notes',
      label: '1',
      period: 5,
    }),
  );
  const state = () => sendJson('GET', `${olderSystem}/state`);
  const answered = async () =>
    ((await state()) as {requests: {answered: number}}).requests.answered;
  await expect.poll(answered).toBeGreaterThan(0);
  expect(await state()).toMatchObject({originBytes: 2_000});
  const nothing = {targets: [], workspaces: []};
  await send('PUT', `${olderSystem}/ownership`, nothing);
  await expect.poll(state).toMatchObject({requests: {running: 0}});
  const last = await answered();
  await send('POST', `${platform}/weights/versions`, {...version, seed: 2});
  await new Promise(resolve => setTimeout(resolve, 50));
  expect(await answered()).toBe(last);
  const orders = await sendJson('GET', `${engine}/orders`);
  expect(orders).toMatchObject({orders: [{giver: 'older-system'}]});
});
