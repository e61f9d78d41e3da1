import {
  createNamedVersions,
  type ServiceDescription,
  type VersionDigest,
} from '@hibiscusbeam/core';
import type {SwarmDriver} from '@hibiscusbeam/daemon';
import {Ok} from 'ts-results';
import {afterEach, beforeEach, expect, test, vi} from 'vitest';
import {createEngineManager} from '../../packages/fleet/src/agent/engine_manager';
import type {StagedChunks} from '../../packages/fleet/src/agent/staged_chunks';
import type {
  EngineControl,
  EngineStatus,
  VersionOrigin,
} from '../../packages/fleet/src/ports';
import {errorFreeLog} from '../fixtures/error_free_log';
import {selectAgentServices} from '../../packages/fleet/src/link/services_copy';

const SERVICES = [
  {
    kind: 'modelEngine',
    name: 'engines',
    weights: {models: ['model'], chunkSize: 1_024, chunks: 1},
  },
  {kind: 'weightOrigin', name: 'origin', address: 'origin:1'},
] as unknown as readonly ServiceDescription[];

let stopped: AbortController;

beforeEach(() => {
  stopped = new AbortController();
  vi.useFakeTimers();
});

afterEach(() => {
  stopped.abort();
  vi.useRealTimers();
});

/** Starts the manager of an engine that serves version 1 of its model. */
async function startManager() {
  let polls = 0;
  let running = 0;
  const versions = createNamedVersions(8_000);
  versions.name('model', 1, 0);
  const standing = (): EngineStatus => ({
    held: [{model: 'model', version: 1}],
    ordering: false,
    running,
    waiting: 0,
    pace: 1,
    memoryShare: undefined,
    born: 1,
  });
  const manager = createEngineManager({
    service: 'engines',
    engine: {
      standing: () => {
        polls += 1;
        return Promise.resolve(Ok(standing()));
      },
    } as unknown as EngineControl,
    origin: {
      content: (_address, model, version) =>
        Promise.resolve(
          Ok({
            model,
            version: version ?? 1,
            digests: [`sha256:${'0'.repeat(64)}`],
          }),
        ),
    } as Partial<VersionOrigin> as VersionOrigin,
    operator: {
      services: () => selectAgentServices(SERVICES),
      start: () => undefined,
      receive: () => undefined,
    },
    versions,
    staged: {
      setStagedVersion: () => undefined,
      prepare: () => undefined,
      setReachable: () => undefined,
    } as unknown as StagedChunks,
    swarm: {
      refreshHeld: () => Promise.resolve(),
      want: () => undefined,
      abandon: (_: VersionDigest) => undefined,
      progress: () => [],
      isFullyReachable: () => false,
    } as unknown as SwarmDriver,
    self: {instance: 'agent', zone: 'north'},
    members: () => [{instance: 'agent', zone: 'north'}],
    areMembersKnown: () => true,
    versionBound: 8_000,
    clock: () => Date.now(),
    machineClock: () => Date.now(),
    log: errorFreeLog,
    onStatus: () => undefined,
  });
  manager.start(stopped.signal);
  await vi.advanceTimersByTimeAsync(1_000);
  return {
    versions,
    checkNow: manager.checkNow,
    setRunning: (next: number) => (running = next),
    pollsIn: async (time: number): Promise<number> => {
      const before = polls;
      await vi.advanceTimersByTimeAsync(time);
      return polls - before;
    },
  };
}

test('an idle engine is polled every 250 ms, a busy one every 100 ms', async () => {
  const {pollsIn, setRunning} = await startManager();
  expect(await pollsIn(2_000)).toBe(8);
  setRunning(1);
  await pollsIn(250);
  expect(await pollsIn(2_000)).toBe(20);
});

// A version is named while the engine is idle. Its engine must be polled at
// once, and at the short period until it serves the version.
test('an idle engine is polled at once when a version is named', async () => {
  const {versions, checkNow, pollsIn} = await startManager();
  await pollsIn(10);
  versions.name('model', 2, Date.now());
  checkNow();
  expect(await pollsIn(0)).toBe(1);
  expect(await pollsIn(1_000)).toBe(10);
});
