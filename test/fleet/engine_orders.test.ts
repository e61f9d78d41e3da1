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

/** An agent whose engine accepts orders late and without an answer. */
function startAgent() {
  let now = 0;
  let stagedBytes: Buffer = Buffer.alloc(0);
  const orders: number[] = [];
  const engine: EngineControl = {
    standing: () => Promise.reject(new Error('not asked here')),
    staged: () => Promise.resolve(Ok(stagedBytes.length === 0 ? [] : [0])),
    readStaged: () => Promise.resolve(Ok(stagedBytes)),
    stage: (_model, _position, bytes) => {
      stagedBytes = bytes;
      return Promise.resolve(Ok.EMPTY);
    },
    load: (_model, version) => {
      orders.push(version);
      now += 1_000;
      return Promise.resolve(Err({kind: 'unreachable', detail: 'no answer'}));
    },
  };
  const staged = createStagedChunks(engine, log, () => now);
  const swarm = {refreshHeld: () => Promise.resolve()} as SwarmDriver;
  const clock = () => now;
  return {
    staged,
    orders,
    sender: createEngineOrders({engine, staged, swarm, clock, log}),
    stagedBytes: () => stagedBytes.toString(),
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

/** Records an answer of the engine to a request sent now. */
function answerOnce({
  sender,
  clock,
  pass,
}: ReturnType<typeof startAgent>): void {
  pass(1);
  sender.recordAnswer(clock());
}

/** Resolves once what was started before it has read the staged chunks. */
function untilInspected({
  staged,
}: ReturnType<typeof startAgent>): Promise<void> {
  return staged.inspect(content(2), ignore);
}

const isDue = () => true;

const fetched = (version: number) =>
  ({
    version,
    knownSince: 0,
    content: content(version),
    identified: {versionDigest: `version ${version}`},
  }) as unknown as FetchedVersion;

test('the version of an unanswered order stays staged until the engine is known to answer', async () => {
  const agent = startAgent();
  await put(agent, 2);
  const requestedBefore = agent.clock();
  await agent.sender.orderLoad(fetched(2), isDue);
  await put(agent, 3);
  agent.sender.recordAnswer(requestedBefore);
  expect(agent.stagedBytes()).toBe('version 2');
  answerOnce(agent);
  await put(agent, 3);
  expect(agent.stagedBytes()).toBe('version 2');
  answerOnce(agent);
  await agent.staged.withVerified(content(3), () => Promise.resolve());
  expect(agent.stagedBytes()).toBe('version 3');
});

test('an unanswered order is repeated only once the engine is known to answer', async () => {
  const agent = startAgent();
  await put(agent, 2);
  const requestedBefore = agent.clock();
  await agent.sender.orderLoad(fetched(2), isDue);
  agent.pass(300);
  agent.sender.recordAnswer(requestedBefore);
  answerOnce(agent);
  await agent.sender.orderLoad(fetched(2), isDue);
  expect(agent.orders).toEqual([2]);
  answerOnce(agent);
  await untilInspected(agent);
  await agent.sender.orderLoad(fetched(2), isDue);
  expect(agent.orders).toEqual([2, 2]);
});

test('a restarted engine gets an order at once', async () => {
  const agent = startAgent();
  await put(agent, 2);
  await agent.sender.orderLoad(fetched(2), isDue);
  agent.sender.reset();
  await agent.sender.orderLoad(fetched(2), isDue);
  expect(agent.orders).toEqual([2, 2]);
});
