import type {Digest, InstanceName} from '@hibiscusbeam/core';
import {
  createSwarmDriver,
  receiveChunk,
  type ChunkStore,
  type SwarmDriver,
  type SwarmPeer,
} from '@hibiscusbeam/daemon';
import {Err, Ok} from 'ts-results';
import {afterEach, describe, expect, test} from 'vitest';
import {generateVersion, type GeneratedVersion} from './versions';

const drivers = new Map<InstanceName, SwarmDriver>();

function createMemoryStore(): ChunkStore & {
  readonly chunks: Map<Digest, Uint8Array>;
} {
  const chunks = new Map<Digest, Uint8Array>();
  return {
    chunks,
    async put(digest, pieces) {
      chunks.set(digest, Buffer.concat(pieces));
      return Ok(undefined);
    },
    list: async () => Ok({life: 'first', digests: [...chunks.keys()]}),
    async *get(digest) {
      const chunk = chunks.get(digest);
      if (chunk === undefined) yield Err({kind: 'notHeld', detail: digest});
      else yield Ok(chunk);
    },
  };
}

function createMesh(count: number, version: GeneratedVersion) {
  const names = Array.from({length: count}, (_, index) => `agent-${index}`);
  const peers: readonly SwarmPeer[] = names.map((instance, index) => ({
    instance,
    zone: `zone-${index % 2}`,
    address: instance,
    incarnation: 1,
  }));
  const stores = names.map(createMemoryStore);
  const origin = {chunks: 0};
  names.forEach((instance, index) => {
    const driver = createSwarmDriver({
      instance,
      zone: peers[index]!.zone,
      seed: index,
      transferBuffer: 1 << 20,
      store: stores[index]!,
      weights: {
        async *chunk(digest) {
          origin.chunks += 1;
          yield Ok(version.content.get(digest)!);
        },
      },
      async *fetchChunk(address, digest, signal) {
        const sender = drivers.get(address)!;
        const served = await sender.serveChunk(instance, digest, signal);
        if (served.err) {
          yield served;
          return;
        }
        for await (const piece of served.val) yield Ok(piece);
      },
      sendHaveDelta: (neighbour, delta) =>
        drivers.get(neighbour)?.onHaveDelta(instance, delta),
    });
    drivers.set(instance, driver);
  });
  return {names, peers, stores, origin};
}

afterEach(() => {
  for (const driver of drivers.values()) driver.stop();
  drivers.clear();
});

describe('swarm driver', () => {
  test('distributes a version to every agent with one copy from the origin', async () => {
    const chunkNames = Array.from({length: 32}, (_, index) => `chunk-${index}`);
    const version = generateVersion('1', chunkNames);
    const {names, peers, stores, origin} = createMesh(8, version);
    await Promise.all([...drivers.values()].map(driver => driver.start()));
    for (const driver of drivers.values()) driver.setPeers(peers);
    for (const driver of drivers.values()) {
      driver.want(version.versionDigest, version.manifest, {
        prefer: 'origin-bytes',
        holders: names,
      });
    }
    const outcomes = await Promise.all(
      [...drivers.values()].map(driver =>
        driver.whenReady(version.versionDigest),
      ),
    );
    expect(outcomes).toEqual(names.map(() => 'ready'));
    for (const store of stores) {
      expect(new Set(store.chunks.keys())).toEqual(
        new Set(version.content.keys()),
      );
    }
    expect(origin.chunks).toBe(32);
  });

  // A sender's stream for one chunk never ends. Buffering it to its end would
  // exhaust the agent's memory.
  test('reads no more of a chunk than its size', async () => {
    let sent = 0;
    async function* endless() {
      while (sent < 1_000) {
        sent += 1;
        yield Ok(Buffer.alloc(100));
      }
    }
    const received = await receiveChunk(endless(), 'sha256:', 300, () => {});
    expect(received.val).toMatchObject({verified: false});
    expect(sent).toBe(4);
  });
});
