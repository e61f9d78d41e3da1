import type {SwarmDriver} from '@hibiscusbeam/daemon';
import {afterEach, expect, test} from 'vitest';
import {createPeerAgents} from '../../packages/fleet/src/agent/peer_agents';
import {openPeerServer} from '../../packages/fleet/src/link/peer_server';
import {eventually, freeAddress} from './fixtures/host_site';

const MAX_PEERS = 10;

const DIGEST = 'digest of a version';

const closers: (() => void)[] = [];
afterEach(() => closers.splice(0).forEach(close => close()));

/**
 * Starts one side of a connection between agents, and records the calls of its
 * swarm.
 */
async function startSide(
  instance: string,
  held: readonly number[],
  isHaveKnown = false,
  isFrozen = false,
) {
  const deltas: unknown[] = [];
  const gone: string[] = [];
  const requested: boolean[] = [];
  const swarm = {
    setPeers: () => undefined,
    neighbours: () => [],
    onPeerConnected: () => undefined,
    onPeerGone: (peer: string) => void gone.push(peer),
    onHaveDelta: (peer: string, delta: object) =>
      void deltas.push({peer, ...delta}),
    heldPositions: (digest: string) => (digest === DIGEST ? held : []),
    isHaveKnown: () => isHaveKnown,
  } as Partial<SwarmDriver> as SwarmDriver;
  const ignore = (): void => undefined;
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
    clock: () => performance.now(),
    log: {debug: ignore, info: ignore, warn: ignore, error: ignore},
  });
  const server = await openPeerServer(
    self.address,
    {
      role: 'agent',
      handlers: {
        announce: call => {
          call.on('data', ({versionDigest, asksHeld}) => {
            if (versionDigest !== '') requested.push(asksHeld);
          });
          if (!isFrozen) agents.answer(call);
        },
        fetchChunk: call => call.end(),
      },
    },
    MAX_PEERS,
  );
  closers.push(server.close, () => agents.channels.retain(new Set()));
  const announcement = (life = self.life) => ({
    instance,
    life,
    versionDigest: DIGEST,
    gained: [],
    asksHeld: false,
    wantsAnswer: true,
  });
  return {self, agents, deltas, gone, requested, announcement};
}

// An engine joins before its neighbour has read the new row. The neighbour has
// no address to announce its chunks to, and the joining agent would request
// chunks from the origin that the neighbour holds.
test('an agent that is not known yet receives the positions its neighbour holds', async () => {
  const holder = await startSide('holder', [0, 2]);
  const joining = await startSide('joining', []);
  joining.agents.setMembers([holder.self]);
  joining.agents.announce('holder', DIGEST, []);
  await eventually(() => joining.deltas.length > 0);
  expect(joining.deltas).toEqual([
    {peer: 'holder', versionDigest: DIGEST, gained: [0, 2]},
  ]);
});

test('an agent that knows what its neighbour holds does not request it', async () => {
  const holder = await startSide('holder', [0, 2]);
  const knowing = await startSide('knowing', [], true);
  knowing.agents.setMembers([holder.self]);
  knowing.agents.announce('holder', DIGEST, [1]);
  await eventually(() => holder.deltas.length > 0);
  expect(holder.requested).toEqual([false]);
  expect(holder.agents.handleAnnouncement(knowing.announcement()).held).toEqual(
    [],
  );
});

// All machines lose power and restart. The agents first read rows of previous
// incarnations. When the rows changed, each forgot what the others had
// announced since, and engines waited a second for the last of their chunks.
test('a late row of an incarnation that has already reported changes nothing', async () => {
  const side = await startSide('side', []);
  const other = await startSide('other', []);
  side.agents.setMembers([{...other.self, life: 'life before'}]);
  side.agents.handleAnnouncement(other.announcement());
  side.agents.setMembers([other.self]);
  expect(side.gone).toEqual([]);
});

test('announcements of a previous incarnation are dropped at the first message of the new one', async () => {
  const side = await startSide('side', []);
  const other = await startSide('other', []);
  side.agents.setMembers([other.self]);
  side.agents.handleAnnouncement(other.announcement());
  side.agents.handleAnnouncement(other.announcement('next life'));
  expect(side.gone).toEqual(['other']);
});

test('announcements of a previous incarnation are dropped when the row of the new one is read', async () => {
  const side = await startSide('side', []);
  const other = await startSide('other', []);
  side.agents.setMembers([other.self]);
  side.agents.handleAnnouncement(other.announcement());
  side.agents.setMembers([{...other.self, life: 'next life'}]);
  expect(side.gone).toEqual(['other']);
});

// A neighbour's machine freezes while chunks are announced to it. It was to
// fetch a part of the version, and the others must detect soon that it will
// not.
test('a neighbour that answers nothing counts as lost', async () => {
  const frozen = await startSide('frozen', [], true, true);
  const side = await startSide('side', [], true);
  side.agents.setMembers([frozen.self]);
  side.agents.handleAnnouncement(frozen.announcement());
  side.agents.announce('frozen', DIGEST, [1]);
  side.agents.announce('frozen', DIGEST, [2]);
  await eventually(() => side.gone.length > 0);
  expect(side.gone).toEqual(['frozen']);
});

test('announcements that come together are answered once', async () => {
  const holder = await startSide('holder', [], true);
  const announcing = await startSide('telling', [], true);
  announcing.agents.setMembers([holder.self]);
  for (let chunk = 0; chunk < 20; chunk += 1) {
    announcing.agents.announce('holder', DIGEST, [chunk]);
  }
  await eventually(() => holder.deltas.length === 20);
  await new Promise(resolve => setTimeout(resolve, 700));
  expect(announcing.gone).toEqual([]);
});
