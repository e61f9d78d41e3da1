import {digestBytes, type SwarmDriver} from '@hibiscusbeam/daemon';
import {Err, Ok, type Result} from 'ts-results';
import {expect, test} from 'vitest';
import {createEngineOrders} from '../../packages/fleet/src/agent/engine_orders';
import {createStagedChunks} from '../../packages/fleet/src/agent/staged_chunks';
import type {FetchedVersion} from '../../packages/fleet/src/agent/wanted_version';
import type {
  EngineControl,
  EngineError,
  LoadReply,
  VersionContent,
} from '../../packages/fleet/src/ports';

const CHUNKS = 4;
const SUSPENSION = 3_500;

const ignore = (): void => undefined;
const log = {debug: ignore, info: ignore, warn: ignore, error: ignore};

const bytesOf = (position: number): Buffer => Buffer.from(`chunk ${position}`);

const CONTENT: VersionContent = {
  model: 'model',
  version: 2,
  digests: Array.from({length: CHUNKS}, (_, at) => digestBytes(bytesOf(at))),
};

const FETCHED = {
  version: 2,
  knownSince: 0,
  content: CONTENT,
  identified: {versionDigest: 'version 2'},
} as unknown as FetchedVersion;

type LoadResult = Result<LoadReply, EngineError>;

/** An agent whose engine takes time, and what the engine took with an order. */
async function startAgent() {
  let now = 0;
  let reads = 0;
  let taken: readonly string[] = [];
  let onRead: (position: number) => void = ignore;
  let onOrder: () => LoadResult = () => Ok('begun');
  let isWriteLost = false;
  const stagedBytes = new Map<number, Buffer>();
  const pass = (time: number): void => void (now += time);
  const spoil = (position: number): void =>
    void stagedBytes.set(position, Buffer.from('corrupted'));

  function accept(): void {
    taken = [...stagedBytes.values()].map(String);
  }

  const engine: EngineControl = {
    standing: () => Promise.reject(new Error('not asked here')),
    staged: () => Promise.resolve(Ok([...stagedBytes.keys()])),
    readStaged: (_model, position) => {
      const bytes = stagedBytes.get(position)!;
      reads += 1;
      onRead(position);
      return Promise.resolve(Ok(bytes));
    },
    stage: (_model, position, bytes) => {
      if (isWriteLost) {
        return Promise.resolve(Err({kind: 'unreachable', detail: 'lost'}));
      }
      stagedBytes.set(position, bytes);
      return Promise.resolve(Ok.EMPTY);
    },
    load: () => {
      const reply = onOrder();
      accept();
      return Promise.resolve(reply);
    },
  };
  const clock = () => now;
  const staged = createStagedChunks(engine, log, clock);
  const swarm = {refreshHeld: () => Promise.resolve()} as SwarmDriver;
  const orders = createEngineOrders({engine, staged, swarm, clock, log});
  staged.setStagedVersion(CONTENT);
  for (const [position, digest] of CONTENT.digests.entries()) {
    await staged.store.put(digest, [bytesOf(position)]);
  }
  pass(10_000);
  async function loseWrite(): Promise<void> {
    isWriteLost = true;
    await staged.store.put(CONTENT.digests[1]!, [bytesOf(1)]);
    isWriteLost = false;
  }

  return {
    pass,
    spoil,
    loseWrite,
    orders,
    order: (isDue = () => true) => orders.orderLoad(FETCHED, isDue),
    reads: () => reads,
    taken: () => taken,
    setOnRead: (next: typeof onRead) => void (onRead = next),
    setOnOrder: (next: typeof onOrder) => void (onOrder = next),
    /** An answered status request, and what it starts. */
    async answer(): Promise<void> {
      pass(1);
      orders.recordAnswer(now);
      pass(1);
      await staged.inspect(CONTENT, ignore);
    },
  };
}

const INTACT = CONTENT.digests.map((_, position) => String(bytesOf(position)));

test('a chunk that becomes corrupted while the verifying agent is suspended is not loaded', async () => {
  const agent = await startAgent();
  let wasSuspended = false;
  agent.setOnRead(position => {
    if (position !== 2 || wasSuspended) return;
    wasSuspended = true;
    agent.spoil(1);
    agent.pass(SUSPENSION);
  });
  await agent.order();
  expect(wasSuspended).toBe(true);
  expect(agent.taken()).toEqual(INTACT);
  expect(agent.orders.isLoadTrusted()).toBe(true);
});

// Repeating outdated checks until none is left would never order the load.
test('chunks that take longer to read than a check is valid are loaded and confirmed', async () => {
  const agent = await startAgent();
  agent.setOnRead(() => agent.pass(1_500));
  await agent.order();
  expect(agent.taken()).toEqual(INTACT);
  expect(agent.reads()).toBeLessThanOrEqual(2 * CHUNKS);
  expect(agent.orders.isLoadTrusted()).toBe(false);
  await agent.answer();
  expect(agent.orders.isLoadTrusted()).toBe(true);
});

test('an engine gets no requests if a chunk became corrupted before it accepted a late order', async () => {
  const agent = await startAgent();
  agent.setOnOrder(() => {
    agent.spoil(1);
    agent.pass(SUSPENSION);
    return Ok('begun');
  });
  await agent.order();
  expect(agent.orders.isLoadTrusted()).toBe(false);
  await agent.answer();
  expect(agent.orders.isLoadTrusted()).toBe(false);
  agent.orders.reset();
  expect(agent.orders.isLoadTrusted()).toBe(true);
});

test('an engine gets no requests if a late write overwrote a verified chunk before its load', async () => {
  const agent = await startAgent();
  await agent.loseWrite();
  agent.setOnOrder(() => {
    agent.spoil(1);
    return Ok('begun');
  });
  await agent.order();
  await agent.answer();
  expect(agent.taken()[1]).toBe('corrupted');
  expect(agent.orders.isLoadTrusted()).toBe(false);
});

// The repair would hide that the engine took the corrupted chunk.
test('nothing is staged again before the chunks of an unanswered order were read', async () => {
  const agent = await startAgent();
  agent.setOnOrder(() => {
    agent.spoil(1);
    return Err({kind: 'unreachable', detail: 'no answer'});
  });
  await agent.order();
  await agent.order();
  expect(agent.taken()[1]).toBe('corrupted');
  await agent.answer();
  expect(agent.orders.isLoadTrusted()).toBe(false);
  await agent.answer();
  expect(agent.orders.isLoadTrusted()).toBe(false);
  agent.setOnOrder(() => Ok('begun'));
  agent.pass(SUSPENSION);
  await agent.order();
  expect(agent.taken()).toEqual(INTACT);
  expect(agent.orders.isLoadTrusted()).toBe(true);
});

test('a load that is no longer due after the verification is not ordered', async () => {
  const agent = await startAgent();
  await agent.order(() => false);
  expect(agent.taken()).toEqual([]);
});
