import {digestBytes, type SwarmDriver} from '@hibiscusbeam/daemon';
import {Err, Ok} from 'ts-results';
import {expect, test} from 'vitest';
import {createEngineOrders} from '../../packages/fleet/src/agent/engine_orders';
import {createStagedChunks} from '../../packages/fleet/src/agent/staged_chunks';
import type {FetchedVersion} from '../../packages/fleet/src/agent/wanted_version';
import type {
  EngineControl,
  VersionContent,
} from '../../packages/fleet/src/ports';

const ignore = (): void => undefined;
const log = {debug: ignore, info: ignore, warn: ignore, error: ignore};

const bytesOf = (version: number): Buffer => Buffer.from(`version ${version}`);

function content(version: number): VersionContent {
  const digests = [digestBytes(bytesOf(version))];
  return {model: 'model', version, digests};
}

/** An agent whose engine accepts an order without an answer, and later. */
function startAgent() {
  let now = 0;
  let lying: Buffer = Buffer.alloc(0);
  const orders: number[] = [];
  const engine: EngineControl = {
    standing: () => Promise.reject(new Error('not asked here')),
    staged: () => Promise.resolve(Ok(lying.length === 0 ? [] : [0])),
    readStaged: () => Promise.resolve(Ok(lying)),
    stage: (_model, _position, bytes) => {
      lying = bytes;
      return Promise.resolve(Ok.EMPTY);
    },
    load: (_model, version) => {
      orders.push(version);
      now += 1_000;
      return Promise.resolve(Err({kind: 'unreachable', detail: 'no answer'}));
    },
  };
  const staged = createStagedChunks(engine, log);
  const swarm = {refreshHeld: () => Promise.resolve()} as SwarmDriver;
  const clock = () => now;
  return {
    staged,
    orders,
    given: createEngineOrders({engine, staged, swarm, clock, log}),
    lying: () => lying.toString(),
    pass: (time: number) => void (now += time),
    clock,
  };
}

async function put(
  {staged}: ReturnType<typeof startAgent>,
  version: number,
): Promise<void> {
  staged.setStagedVersion(content(version));
  const stored = await staged.store.put(digestBytes(bytesOf(version)), [
    bytesOf(version),
  ]);
  expect(stored.ok).toBe(true);
}

/** Lets the engine answer a question that is asked now. */
function answerOnce({given, clock, pass}: ReturnType<typeof startAgent>): void {
  pass(1);
  given.recordAnswer(clock());
}

const fetched = (version: number) =>
  ({
    version,
    knownSince: 0,
    content: content(version),
    identified: {versionDigest: `version ${version}`},
  }) as unknown as FetchedVersion;

test('an order without an answer finds its own version staged until the engine surely answers', async () => {
  const agent = startAgent();
  await put(agent, 2);
  const askedBefore = agent.clock();
  await agent.given.orderLoad(fetched(2));
  await put(agent, 3);
  agent.given.recordAnswer(askedBefore);
  expect(agent.lying()).toBe('version 2');
  answerOnce(agent);
  await put(agent, 3);
  expect(agent.lying()).toBe('version 2');
  answerOnce(agent);
  await agent.staged.withVerified(content(3), () => Promise.resolve());
  expect(agent.lying()).toBe('version 3');
});

test('an order without an answer is given again only once the engine surely answers', async () => {
  const agent = startAgent();
  await put(agent, 2);
  const askedBefore = agent.clock();
  await agent.given.orderLoad(fetched(2));
  agent.pass(300);
  agent.given.recordAnswer(askedBefore);
  answerOnce(agent);
  await agent.given.orderLoad(fetched(2));
  expect(agent.orders).toEqual([2]);
  answerOnce(agent);
  await agent.given.orderLoad(fetched(2));
  expect(agent.orders).toEqual([2, 2]);
});

test('an engine that has started anew is ordered at once', async () => {
  const agent = startAgent();
  await put(agent, 2);
  await agent.given.orderLoad(fetched(2));
  agent.given.reset();
  await agent.given.orderLoad(fetched(2));
  expect(agent.orders).toEqual([2, 2]);
});
