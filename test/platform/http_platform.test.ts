import {createServer} from 'node:http';
import type {RequestListener, Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {createHttpPlatform} from '@hibiscusbeam/platform';
import type {Platform} from '@hibiscusbeam/platform';
import {startPlatform} from '@hibiscusbeam/standins';
import type {StandIn} from '@hibiscusbeam/standins';
import {request} from 'undici';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {digestOf} from '../../packages/standins/src/shared/digest';

const TIMEOUT = 5_000;

const PUT_ONCE = {
  conditions: [{kind: 'absent', key: 'claims/a'}],
  writes: [{kind: 'put', key: 'claims/a', value: {attempt: 'ours'}}],
} as const;

function connect(address: string, timeout = TIMEOUT): Platform {
  return createHttpPlatform({
    url: `http://${address}`,
    timeout,
    digestText: digestOf,
  });
}

async function control(address: string, path: string, body: unknown) {
  const response = await request(`http://${address}${path}`, {
    method: 'POST',
    headers: {'content-type': 'application/json'},
    body: JSON.stringify(body),
  });
  return response.body.json();
}

describe('with the platform stand-in', () => {
  let standIn: StandIn;
  let platform: Platform;

  beforeEach(async () => {
    standIn = await startPlatform({listen: '127.0.0.1:0'});
    platform = connect(standIn.address);
  });
  afterEach(() => standIn.close());

  it('reads and scans what it committed', async () => {
    await platform.table.commit(PUT_ONCE);
    const row = {key: 'claims/a', version: 1, value: {attempt: 'ours'}};
    expect((await platform.table.read('claims/a')).unwrap()).toEqual(row);
    expect((await platform.table.scan('claims/', 9)).unwrap()).toEqual([row]);
    expect((await platform.table.read('claims/b')).unwrap()).toBeUndefined();
  });

  it('returns the rows whose condition failed', async () => {
    await platform.table.commit(PUT_ONCE);
    const row = {key: 'claims/a', version: 1, value: {attempt: 'ours'}};
    const absent = {kind: 'versionIs', key: 'claims/b', version: 1} as const;
    const outcome = await platform.table.commit({
      conditions: [...PUT_ONCE.conditions, absent],
      writes: [],
    });
    expect(outcome.unwrap()).toEqual({
      kind: 'conditionFailed',
      failed: [
        {key: 'claims/a', row},
        {key: 'claims/b', row: undefined},
      ],
    });
  });

  it('reports a lost reply as such, so that reading back resolves it', async () => {
    // A caller's claim is written, but the connection is closed before the
    // answer. Reported as a refusal, the claim would be made again and the call
    // would run twice.
    await control(standIn.address, '/faults', {table: {loseReplies: 1}});
    const lost = await platform.table.commit(PUT_ONCE);
    expect(lost.val).toMatchObject({kind: 'replyLost'});
    const row = (await platform.table.read('claims/a')).unwrap();
    expect(row?.value).toEqual({attempt: 'ours'});
  });

  it('maps an outage and an exceeded rate to errors without effect', async () => {
    await control(standIn.address, '/faults', {table: {outage: true}});
    const down = await platform.table.commit(PUT_ONCE);
    expect(down.val).toMatchObject({kind: 'unavailable'});
    await control(standIn.address, '/faults', {
      table: {outage: false, writesPerSecond: 0.001},
    });
    const commits = [PUT_ONCE, PUT_ONCE].map(platform.table.commit);
    const results = await Promise.all(commits);
    const refused = results.find(result => result.err);
    expect(refused?.val).toMatchObject({kind: 'rateLimited'});
  });

  it('stores objects under keys with slashes', async () => {
    const content = new Uint8Array([1, 2, 3]);
    (await platform.objects.put('plans/a b', content)).unwrap();
    expect((await platform.objects.get('plans/a b')).unwrap()).toEqual(content);
    const missing = await platform.objects.get('plans/c');
    expect(missing.val).toMatchObject({kind: 'notFound'});
  });

  it('reads a published version chunk by chunk', async () => {
    const published = await control(standIn.address, '/weights/versions', {
      model: 'notes',
      label: '1',
      chunkCount: 3,
      chunkSize: 100_000,
      seed: 7,
    });
    const digest = (await platform.weights.resolve('notes', '1')).unwrap();
    expect(published).toEqual({versionDigest: digest});
    const manifest = (await platform.weights.manifest(digest)).unwrap();
    expect(manifest.chunks).toHaveLength(3);
    for (const chunk of manifest.chunks) {
      const parts: Uint8Array[] = [];
      const {signal} = new AbortController();
      for await (const part of platform.weights.chunk(chunk.digest, signal)) {
        parts.push(part.unwrap());
      }
      expect(digestOf(Buffer.concat(parts))).toBe(chunk.digest);
    }
  });

  it('ends a stalled chunk when the caller aborts it', async () => {
    const {versionDigest} = (await control(
      standIn.address,
      '/weights/versions',
      {model: 'notes', label: '1', chunkCount: 1, chunkSize: 90_000, seed: 7},
    )) as {versionDigest: string};
    await control(standIn.address, '/faults', {weights: {stallNext: 1}});
    const manifest = await platform.weights.manifest(versionDigest);
    const digest = manifest.unwrap().chunks[0]?.digest ?? '';
    const abort = new AbortController();
    const results = [];
    let received = 0;
    for await (const part of platform.weights.chunk(digest, abort.signal)) {
      results.push(part);
      if (part.ok) received += part.val.length;
      if (received === 45_000) abort.abort();
    }
    expect(results.at(-1)?.val).toMatchObject({kind: 'unavailable'});
  });
});

describe('with a faulty server', () => {
  let server: Server;

  async function serve(listener: RequestListener): Promise<string> {
    server = createServer(listener);
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
  }
  afterEach(() => {
    server.closeAllConnections();
    server.close();
  });

  it('reports a write that times out as a lost reply', async () => {
    const platform = connect(await serve(() => undefined), 20);
    const commit = await platform.table.commit(PUT_ONCE);
    expect(commit.val).toMatchObject({kind: 'replyLost'});
    const read = await platform.table.read('claims/a');
    expect(read.val).toMatchObject({kind: 'unavailable'});
  });

  it('reports a refused connection as a call without effect', async () => {
    const address = await serve(() => undefined);
    await new Promise(resolve => server.close(resolve));
    const commit = await connect(address).table.commit(PUT_ONCE);
    expect(commit.val).toMatchObject({kind: 'unavailable'});
  });

  it.each([
    ['{"outcome":{"kind":"perhaps"}}', 200, 'replyLost', 'malformed'],
    ['no JSON', 200, 'replyLost', 'malformed'],
    ['{}', 400, 'malformed', 'malformed'],
    ['{}', 429, 'rateLimited', 'rateLimited'],
    ['{}', 502, 'replyLost', 'unavailable'],
    ['{}', 503, 'unavailable', 'unavailable'],
  ])('maps %s with status %i', async (body, status, commitError, readError) => {
    const address = await serve((_request, response) => {
      response.writeHead(status).end(body);
    });
    const {table} = connect(address);
    expect((await table.commit(PUT_ONCE)).val).toMatchObject({
      kind: commitError,
    });
    expect((await table.read('a')).val).toMatchObject({kind: readError});
  });

  it('rejects a manifest whose digest does not match', async () => {
    const text = JSON.stringify({model: 'notes', label: '1', chunks: []});
    const address = await serve((_request, response) => {
      response.writeHead(200).end(text);
    });
    const {weights} = connect(address);
    expect((await weights.manifest(digestOf(text))).ok).toBe(true);
    const other = await weights.manifest(digestOf('other'));
    expect(other.val).toMatchObject({kind: 'malformed'});
  });

  it('accepts an answer whose failed row is null or absent', async () => {
    const failed = [{key: 'a', row: null}, {key: 'b'}];
    const address = await serve((_request, response) => {
      const outcome = {kind: 'conditionFailed', failed};
      response.writeHead(200).end(JSON.stringify({outcome}));
    });
    const outcome = await connect(address).table.commit(PUT_ONCE);
    expect(outcome.unwrap()).toEqual({
      kind: 'conditionFailed',
      failed: [
        {key: 'a', row: undefined},
        {key: 'b', row: undefined},
      ],
    });
  });
});

it('rejects a host name in place of an IP number', () => {
  const options = {url: 'http://platform:7000', timeout: TIMEOUT};
  expect(() => createHttpPlatform(options)).toThrow('IP number');
});
