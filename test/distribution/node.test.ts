import {createSwarmNode, type SwarmEvent} from '@hibiscusbeam/core';
import {describe, expect, test} from 'vitest';
import {generateVersion} from './versions';

const version = generateVersion(
  '1',
  Array.from({length: 32}, (_, position) => `chunk-${position}`),
);

/** Stall timeout of a node without measurements. */
const INITIAL_STALL_TIMEOUT_MS = 3_000;

describe('swarm node', () => {
  // A sender freezes in the middle of a chunk and keeps its connection open.
  // Unless that download is abandoned, the rollout stalls at 99%.
  test('a chunk on a frozen link is requested from another sender after the stall timeout', () => {
    const digest = version.manifest.chunks[0]!.digest;
    const node = startNode(['a', 'b']);
    dispatch(node, {kind: 'neighbourHave', neighbour: 'a', ...have([0])}, 10);
    const effects = dispatch(
      node,
      {kind: 'neighbourHave', neighbour: 'b', ...have([0])},
      20,
    );
    expect(effects).toEqual([]);
    const retried = dispatch(
      node,
      {kind: 'tick'},
      10 + INITIAL_STALL_TIMEOUT_MS,
    );
    expect(retried).toContainEqual(
      expect.objectContaining({kind: 'askNeighbour', neighbour: 'b', digest}),
    );
  });

  // A response on a shared connection may belong to another request. Its bytes
  // are intact, so only the requested digest reveals the mix-up.
  test('a misrouted chunk is not stored as the requested one', () => {
    const node = startNode(['a']);
    dispatch(node, {kind: 'neighbourHave', neighbour: 'a', ...have([0])}, 10);
    const digest = version.manifest.chunks[1]!.digest;
    const effects = dispatch(
      node,
      {kind: 'chunkArrived', transfer: 1, digest, verified: true},
      20,
    );
    expect(effects).toEqual([]);
  });

  test('a download of a shared chunk continues when the version changes', () => {
    const node = startNode(['a']);
    const next = generateVersion('2', ['chunk-0', 'new']);
    dispatch(node, {kind: 'neighbourHave', neighbour: 'a', ...have([0])}, 10);
    const {versionDigest, manifest} = next;
    const prefer = 'origin-bytes';
    const holders = ['a'];
    dispatch(
      node,
      {kind: 'versionWanted', versionDigest, manifest, prefer, holders},
      20,
    );
    const old = version.versionDigest;
    dispatch(node, {kind: 'versionSuperseded', versionDigest: old}, 30);
    expect(node.dump().downloads.length).toBe(1);
  });

  // An instance that joins when all others hold the version learns so slightly
  // later. If it did not wait, it would fetch part of a copy from the origin.
  test('learns what its neighbours hold before it sends requests to the origin', () => {
    const node = startNode(['a', 'b'], {holders: ['self', 'a', 'b']});
    expect(node.dump().downloads).toEqual([]);
    const all = have(
      version.manifest.chunks.map((_chunk, position) => position),
    );
    dispatch(node, {kind: 'neighbourHave', neighbour: 'a', ...all}, 100);
    dispatch(node, {kind: 'neighbourHave', neighbour: 'b', ...all}, 110);
    dispatch(node, {kind: 'tick'}, 1_000);
    const senders = node.dump().downloads.map(download => download.sender);
    expect(senders).toEqual(['a', 'b']);
  });

  // An instance whose memory corrupts what it sends is cut off by its
  // neighbours. If they also stopped announcing chunks to it, it would never
  // complete.
  test('still announces its chunks to a sender that it cut off', () => {
    const node = startNode(['a', 'b']);
    dispatch(
      node,
      {kind: 'neighbourHave', neighbour: 'a', ...have([0, 1])},
      10,
    );
    const digests = version.manifest.chunks.map(chunk => chunk.digest);
    for (const transfer of [1, 2]) {
      const digest = node.dump().downloads[0]!.digest;
      const bad = {transfer, digest, verified: false} as const;
      dispatch(node, {kind: 'chunkArrived', ...bad}, 20);
    }
    expect(node.dump().cutOff).toEqual(['a']);
    const stored = {kind: 'chunkStored', digest: digests[5]!, life: '1'};
    const effects = [
      ...dispatch(node, stored as SwarmEvent, 30),
      ...dispatch(node, {kind: 'tick'}, 1_000),
    ];
    expect(effects).toContainEqual(
      expect.objectContaining({kind: 'announce', neighbours: ['a', 'b']}),
    );
  });

  test('keeps no more chunks in memory than fit its buffer', () => {
    const node = startNode([], {transferBuffer: 128, holders: ['self']});
    const requested = dispatch(node, {kind: 'tick'}, 1_000);
    const started = node.dump().downloads.length;
    expect(requested.length).toBeLessThanOrEqual(2);
    expect(started).toBe(2);
    for (let transfer = 1; transfer <= 2; transfer += 1) {
      const digest = node.dump().downloads[0]!.digest;
      dispatch(
        node,
        {kind: 'chunkArrived', transfer, digest, verified: true},
        1_100,
      );
    }
    expect(node.dump().downloads).toEqual([]);
  });

  // After an outage all nodes send requests to the origin at once, so each
  // download is slow. If the timeout did not grow, all would cancel and restart
  // forever.
  test('gives a slow origin more time after each cancelled download', () => {
    const node = startNode([], {transferBuffer: 64, holders: ['self']});
    const times: number[] = [];
    for (let at = 0; at <= 60_000; at += 100) {
      const effects = dispatch(node, {kind: 'tick'}, at);
      if (effects.some(effect => effect.kind === 'askOrigin')) times.push(at);
    }
    expect(times).toEqual([6_000, 18_000, 42_000]);
  });

  // If chunks that all nodes already hold kept their slots in the request
  // order, an update of a few chunks would take as long as a complete version.
  test('does not wait for the request slots of chunks that it holds', () => {
    const digests = version.manifest.chunks.map(chunk => chunk.digest);
    const node = startNode([], {
      holders: ['self'],
      held: digests.slice(4),
      originBytesPerSecond: 64,
    });
    const requested: string[] = [];
    for (let at = 0; at <= 3_000; at += 100) {
      for (const effect of dispatch(node, {kind: 'tick'}, at)) {
        if (effect.kind !== 'askOrigin') continue;
        const {transfer, digest} = effect;
        requested.push(digest);
        const whole = {transfer, digest, verified: true} as const;
        dispatch(node, {kind: 'chunkArrived', ...whole}, at);
      }
    }
    expect(new Set(requested).size).toBe(3);
  });

  // A neighbour requests a chunk and freezes. If the open stream counted as an
  // upload in progress, it would occupy the slot and slow down all other
  // neighbours.
  test('stops an upload that the other side does not read', () => {
    const digests = version.manifest.chunks.map(chunk => chunk.digest);
    const node = startNode(['a', 'b', 'c'], {held: digests, uploadSlots: 1});
    const digest = digests[0]!;
    const request = (upload: number, neighbour: string) =>
      dispatch(node, {kind: 'uploadAsked', upload, neighbour, digest}, 10);
    expect(request(1, 'a')).toEqual([{kind: 'startUpload', upload: 1}]);
    expect(request(2, 'b')).toEqual([]);
    expect(
      dispatch(node, {kind: 'tick'}, 10 + INITIAL_STALL_TIMEOUT_MS),
    ).toEqual([
      {kind: 'stopUpload', upload: 1},
      {kind: 'startUpload', upload: 2},
    ]);
  });

  test('announces its chunks again to a neighbour that has lost its own', () => {
    const digests = version.manifest.chunks.map(chunk => chunk.digest);
    const node = startNode(['a'], {held: digests});
    dispatch(node, {kind: 'neighbourHave', neighbour: 'a', ...have([3])}, 5);
    const request = {
      kind: 'uploadAsked',
      upload: 1,
      neighbour: 'a',
      digest: digests[3]!,
    } as const;
    expect(dispatch(node, request, 10)).toContainEqual(
      expect.objectContaining({kind: 'announce', neighbours: ['a']}),
    );
  });

  test('leaves its slots to live requests while these are queued', () => {
    const node = startNode(['a', 'b', 'c', 'd']);
    const load = {running: 4, queued: 4, slots: 4};
    dispatch(node, {kind: 'liveRequestLoad', ...load}, 1);
    ['a', 'b', 'c', 'd'].forEach((neighbour, position) => {
      const gained = have([position]);
      dispatch(node, {kind: 'neighbourHave', neighbour, ...gained}, 10);
    });
    expect(node.dump().downloads.length).toBe(1);
    expect(node.transferShare()).toBeCloseTo(0.1);
    dispatch(node, {kind: 'liveRequestLoad', ...load, queued: 0}, 20);
    expect(node.dump().downloads.length).toBe(4);
    expect(node.transferShare()).toBeCloseTo(0.9);
  });
});

function have(gained: readonly number[]) {
  return {versionDigest: version.versionDigest, gained};
}

function dispatch(
  node: ReturnType<typeof createSwarmNode>,
  event: SwarmEvent,
  at: number,
) {
  return node.handle(event, at).filter(effect => effect.kind !== 'cancel');
}

/**
 * Starts a node that wants the version, while the other holders own every chunk
 * at the origin.
 */
function startNode(
  others: readonly string[],
  settings: {
    readonly held?: readonly string[];
    readonly transferBuffer?: number;
    readonly uploadSlots?: number;
    readonly originBytesPerSecond?: number;
    readonly holders?: readonly string[];
  } = {},
) {
  const node = createSwarmNode({
    instance: 'self',
    zone: 'z',
    seed: 1,
    transferBuffer: settings.transferBuffer ?? 1 << 20,
    uploadSlots: settings.uploadSlots,
    originBytesPerSecond: settings.originBytesPerSecond,
  });
  const members = others.map(instance => ({instance, zone: 'z'}));
  dispatch(node, {kind: 'membersChanged', members}, 0);
  const digests = settings.held ?? [];
  dispatch(node, {kind: 'heldReported', life: '1', digests}, 0);
  const {versionDigest, manifest} = version;
  const holders = settings.holders ?? others;
  const prefer = 'origin-bytes';
  dispatch(
    node,
    {kind: 'versionWanted', versionDigest, manifest, prefer, holders},
    0,
  );
  return node;
}
