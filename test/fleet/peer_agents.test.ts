import type {SwarmDriver} from '@hibiscusbeam/daemon';
import {afterEach, expect, test} from 'vitest';
import {createPeerAgents} from '../../packages/fleet/src/agent/peer_agents';
import {openPeerServer} from '../../packages/fleet/src/link/peer_server';
import {eventually, freeAddress} from './fixtures/host_site';

const DIGEST = 'digest of a version';

const closers: (() => void)[] = [];
afterEach(() => closers.splice(0).forEach(close => close()));

/** One side of a link between agents, with what its swarm is told. */
async function startSide(instance: string, held: readonly number[]) {
  const told: unknown[] = [];
  const swarm = {
    setPeers: () => undefined,
    neighbours: () => [],
    onPeerConnected: () => undefined,
    onPeerGone: () => undefined,
    onHaveDelta: (peer: string, delta: object) =>
      void told.push({peer, ...delta}),
    heldPositions: (digest: string) => (digest === DIGEST ? held : []),
  } as Partial<SwarmDriver> as SwarmDriver;
  const note = (): void => undefined;
  const self = {
    instance,
    role: 'agent' as const,
    zone: 'north',
    address: await freeAddress(),
    life: `life of ${instance}`,
  };
  const agents = createPeerAgents({
    self,
    swarm: () => swarm,
    log: {debug: note, info: note, warn: note, error: note},
  });
  const server = await openPeerServer(self.address, {
    role: 'agent',
    handlers: {
      announce: (call, done) => done(null, agents.take(call.request)),
      fetchChunk: call => call.end(),
    },
  });
  closers.push(server.close, () => agents.channels.keep(new Set()));
  return {self, agents, told};
}

// An engine joins while its neighbour has not read the members anew. The
// neighbour knows no address to announce its chunks to, and the one that joins
// asked the origin for a part of what the neighbour holds.
test('an agent that is not known yet hears what its neighbour holds', async () => {
  const holder = await startSide('holder', [0, 2]);
  const joining = await startSide('joining', []);
  joining.agents.setMembers([holder.self]);
  joining.agents.announce('holder', DIGEST, []);
  await eventually(() => joining.told.length > 0);
  expect(joining.told).toEqual([
    {peer: 'holder', versionDigest: DIGEST, gained: [0, 2]},
  ]);
});

test('an agent that is known is told by an announcement only', async () => {
  const holder = await startSide('holder', [0, 2]);
  const joining = await startSide('joining', []);
  holder.agents.setMembers([joining.self]);
  const taken = holder.agents.take({
    instance: 'joining',
    life: joining.self.life,
    versionDigest: DIGEST,
    gained: [],
  });
  expect(taken.held).toEqual([]);
});
