import type {Digest, IdentifiedManifest} from '@hibiscusbeam/core';
import {receiveChunk, type SwarmPeer} from '@hibiscusbeam/daemon';
import {Ok} from 'ts-results';
import {
  answerPaced,
  instanceName,
  type InstancePorts,
  type Mover,
} from './instance';

/** Chunks that a baseline reads concurrently, to keep the link busy. */
const CONCURRENT_READS = 4;

type Pieces = ReturnType<InstancePorts['fromPeer']>;

/** A mover that reads every chunk from the origin. */
export function createOriginMover(ports: InstancePorts): Mover {
  const open = (digest: Digest) => readOrigin(ports, digest);
  return createOrderedMover(ports, () => open);
}

/**
 * A mover in a binary tree: instance n reads every chunk from instance
 * (n - 1) / 2, and the first one reads from the origin.
 */
export function createTreeMover(ports: InstancePorts): Mover {
  return createOrderedMover(ports, peers => {
    if (ports.position === 0) return digest => readOrigin(ports, digest);
    const parent = instanceName(Math.floor((ports.position - 1) / 2));
    const {address} = peers.find(peer => peer.instance === parent)!;
    const {signal} = new AbortController();
    return digest => ports.fromPeer(address, digest, signal);
  });
}

function createOrderedMover(
  ports: InstancePorts,
  chooseSource: (peers: readonly SwarmPeer[]) => (digest: Digest) => Pieces,
): Mover {
  let currentPeers: readonly SwarmPeer[] = [];

  async function readAll({manifest}: IdentifiedManifest): Promise<boolean> {
    const open = chooseSource(currentPeers);
    let next = 0;
    const reader = async () => {
      while (next < manifest.chunks.length) {
        const {digest, size} = manifest.chunks[next]!;
        next += 1;
        const received = await receiveChunk(
          open(digest),
          digest,
          size,
          () => {},
        );
        if (received.err || !received.val.verified) return false;
        await ports.store.put(digest, received.val.pieces);
      }
      return true;
    };
    const done = await Promise.all(
      Array.from({length: CONCURRENT_READS}, () => reader()),
    );
    return done.every(whole => whole);
  }

  return {
    start: peers => void (currentPeers = peers),
    want: readAll,
    answer: call =>
      answerPaced(ports, call, async (_instance, digest) => {
        await ports.store.whenHeld(digest);
        return Ok(readStore(ports, digest));
      }),
    neighbourCount: () => 0,
    crossZoneBytes: () => 0,
    cutOffs: () => 0,
    stop: () => {},
  };
}

async function* readStore(ports: InstancePorts, digest: Digest) {
  const {signal} = new AbortController();
  for await (const piece of ports.store.get(digest, signal)) {
    if (piece.ok) yield piece.val;
  }
}

async function* readOrigin(ports: InstancePorts, digest: Digest): Pieces {
  const {signal} = new AbortController();
  for await (const piece of ports.fromOrigin.chunk(digest, signal)) {
    yield piece.mapErr(() => ({kind: 'unavailable'}));
  }
}
