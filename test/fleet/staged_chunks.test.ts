import {createHash} from 'node:crypto';
import {Err, Ok} from 'ts-results';
import {expect, test} from 'vitest';
import {createStagedChunks} from '../../packages/fleet/src/agent/staged_chunks';
import type {
  EngineControl,
  VersionContent,
} from '../../packages/fleet/src/ports';

const CHUNKS = 4;

const ignore = (): void => undefined;
const log = {debug: ignore, info: ignore, warn: ignore, error: ignore};

function chunk(version: number, position: number): Buffer {
  return Buffer.from(`chunk ${position} of version ${version}`);
}

function digest(bytes: Buffer): string {
  return `sha256:${createHash('sha256').update(bytes).digest('hex')}`;
}

function content(version: number): VersionContent {
  const positions = Array.from({length: CHUNKS}, (_none, position) => position);
  const digests = positions.map(position => digest(chunk(version, position)));
  return {model: 'model', version, digests};
}

function startStaging() {
  const stagedBytes = new Map<number, Buffer>();
  let isUp = true;
  /** Number of calls that are answered before the engine falls silent. */
  let answersLeft = Infinity;
  const silence = Err({kind: 'unreachable', detail: 'no answer'} as const);
  const refused = new Set<number>();
  const refusal = Err({kind: 'refused', detail: 'status 500'} as const);
  const answers = (): boolean => {
    answersLeft -= 1;
    return answersLeft >= 0;
  };
  const engine: EngineControl = {
    standing: () => Promise.reject(new Error('not asked here')),
    staged: () =>
      Promise.resolve(
        isUp
          ? Ok([...stagedBytes.keys()])
          : Err({kind: 'unreachable', detail: 'not up'} as const),
      ),
    readStaged: (_model, position) => {
      if (!answers()) return Promise.resolve(silence);
      const bytes = stagedBytes.get(position)!;
      return Promise.resolve(refused.has(position) ? refusal : Ok(bytes));
    },
    stage: (_model, position, bytes) => {
      if (!answers()) return Promise.resolve(silence);
      stagedBytes.set(position, bytes);
      return Promise.resolve(Ok.EMPTY);
    },
    load: () => Promise.reject(new Error('not asked here')),
  };
  const staged = createStagedChunks(engine, log, () => 0);
  const setUp = (next: boolean): void => {
    isUp = next;
    staged.setReachable(isUp);
  };
  const silenceAfter = (calls: number): void => void (answersLeft = calls);
  /** Staging area of a restarted agent at the same engine. */
  const restart = () => createStagedChunks(engine, log, () => 0);
  return {stagedBytes, refused, staged, setUp, silenceAfter, restart};
}

type Staged = ReturnType<typeof startStaging>['staged'];

async function putAll(staged: Staged, version: number): Promise<void> {
  for (let position = 0; position < CHUNKS; position += 1) {
    const bytes = chunk(version, position);
    const stored = await staged.store.put(digest(bytes), [bytes]);
    expect(stored.ok).toBe(true);
  }
}

async function isWhole(staged: Staged, version: number): Promise<boolean> {
  const ran = await staged.withVerified(content(version), async () => 'ran');
  return ran === 'ran';
}

// Version 2 is staged and waits for its load when version 3 is named. The
// chunks of version 3 must not overwrite those of version 2, or the engine
// would load a mix of both. They must not wait either, or version 3 would come
// after its bound.
test('keeps the chunks of the next version until the previous one is loaded', async () => {
  const {stagedBytes, staged} = startStaging();
  staged.setStagedVersion(content(2));
  await putAll(staged, 2);
  staged.prepare(content(3));
  await putAll(staged, 3);
  expect(stagedBytes.get(1)).toEqual(chunk(2, 1));
  expect(await isWhole(staged, 2)).toBe(true);
  staged.setStagedVersion(content(3));
  expect(await isWhole(staged, 3)).toBe(true);
  expect(stagedBytes.get(1)).toEqual(chunk(3, 1));
});

// A staged chunk becomes corrupted on the last engine that holds it. Fetched
// from the origin again, it would arrive seconds later, while others wait for
// it too.
test('repairs corrupted staged chunks', async () => {
  const {stagedBytes, staged} = startStaging();
  staged.setStagedVersion(content(2));
  await putAll(staged, 2);
  stagedBytes.set(1, Buffer.from('bad'));
  expect(await isWhole(staged, 2)).toBe(true);
  expect(stagedBytes.get(1)).toEqual(chunk(2, 1));
});

test('keeps nothing in memory once the engine has loaded a version', async () => {
  const {stagedBytes, staged} = startStaging();
  staged.setStagedVersion(content(2));
  await putAll(staged, 2);
  staged.forget(content(2));
  stagedBytes.set(1, Buffer.from('bad'));
  expect(await isWhole(staged, 2)).toBe(false);
});

test('serves chunks that are kept in memory', async () => {
  const {staged} = startStaging();
  staged.setStagedVersion(content(2));
  staged.prepare(content(3));
  await putAll(staged, 3);
  const parts: Uint8Array[] = [];
  const wanted = digest(chunk(3, 2));
  for await (const part of staged.store.get(
    wanted,
    new AbortController().signal,
  )) {
    parts.push(part.unwrap());
  }
  expect(Buffer.concat(parts)).toEqual(chunk(3, 2));
});

test('forgets the chunks of a version that is skipped', async () => {
  const {staged} = startStaging();
  staged.setStagedVersion(content(2));
  staged.prepare(content(3));
  await putAll(staged, 3);
  staged.setStagedVersion(content(4));
  const listed = await staged.store.list();
  expect(listed.unwrap().digests).toEqual([]);
  expect(await isWhole(staged, 4)).toBe(false);
});

test('refuses chunks of unwanted versions', async () => {
  const {staged} = startStaging();
  staged.setStagedVersion(content(2));
  const bytes = chunk(9, 0);
  const stored = await staged.store.put(digest(bytes), [bytes]);
  expect(stored).toMatchObject({err: true, val: {kind: 'refused'}});
});

// An engine starts after its agent has fetched its weights. The chunks can't be
// staged yet, so they are kept in memory, and must be staged once the engine is
// up.
test('keeps the chunks of an engine that is not up yet', async () => {
  const {stagedBytes, staged, setUp} = startStaging();
  setUp(false);
  staged.setStagedVersion(content(1));
  await putAll(staged, 1);
  expect(stagedBytes.size).toBe(0);
  const held = (await staged.store.list()).unwrap();
  expect(held.digests).toHaveLength(CHUNKS);
  setUp(true);
  expect(await isWhole(staged, 1)).toBe(true);
  expect(stagedBytes.size).toBe(CHUNKS);
});

test('a silent engine during a read does not lose staged chunks', async () => {
  const {stagedBytes, restart, silenceAfter} = startStaging();
  for (let position = 0; position < CHUNKS; position += 1) {
    stagedBytes.set(position, chunk(2, position));
  }
  const staged = restart();
  staged.setStagedVersion(content(2));
  silenceAfter(2);
  expect((await staged.store.list()).err).toBe(true);
  silenceAfter(Infinity);
  const listed = (await staged.store.list()).unwrap();
  expect([...listed.digests].sort()).toEqual([...content(2).digests].sort());
});

test('a staged chunk that an engine refuses to return is fetched again', async () => {
  const {stagedBytes, refused, restart} = startStaging();
  for (let position = 0; position < CHUNKS; position += 1) {
    stagedBytes.set(position, chunk(2, position));
  }
  refused.add(1);
  const staged = restart();
  staged.setStagedVersion(content(2));
  const listed = (await staged.store.list()).unwrap();
  const {digests} = content(2);
  const others = digests.filter((_digest, position) => position !== 1);
  expect([...listed.digests].sort()).toEqual(others.sort());
});

test('a silent engine before an order does not lose staged chunks', async () => {
  const {stagedBytes, restart, silenceAfter} = startStaging();
  for (let position = 0; position < CHUNKS; position += 1) {
    stagedBytes.set(position, chunk(2, position));
  }
  const staged = restart();
  staged.setStagedVersion(content(2));
  (await staged.store.list()).unwrap();
  silenceAfter(2);
  expect(await isWhole(staged, 2)).toBe(false);
  const listed = (await staged.store.list()).unwrap();
  expect([...listed.digests].sort()).toEqual([...content(2).digests].sort());
});

test('chunks are not fetched again if the engine falls silent during staging', async () => {
  const {stagedBytes, staged, silenceAfter} = startStaging();
  staged.setStagedVersion(content(2));
  (await staged.store.list()).unwrap();
  silenceAfter(1);
  await putAll(staged, 2);
  expect(stagedBytes.size).toBe(1);
  const held = (await staged.store.list()).unwrap();
  expect(new Set(held.digests).size).toBe(CHUNKS);
  silenceAfter(Infinity);
  expect(await isWhole(staged, 2)).toBe(true);
  expect(stagedBytes.size).toBe(CHUNKS);
});

test('nothing of the next version is staged while an order is unanswered', async () => {
  const {stagedBytes, staged} = startStaging();
  staged.setStagedVersion(content(2));
  await putAll(staged, 2);
  staged.hold();
  staged.setStagedVersion(content(3));
  await putAll(staged, 3);
  expect(await isWhole(staged, 3)).toBe(false);
  expect(stagedBytes.get(1)).toEqual(chunk(2, 1));
  staged.release();
  expect(await isWhole(staged, 3)).toBe(true);
  expect(stagedBytes.get(1)).toEqual(chunk(3, 1));
});
