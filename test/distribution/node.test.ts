import {createSwarmNode, type SwarmEvent} from '@hibiscusbeam/core';
import {describe, expect, test} from 'vitest';
import {generateVersion} from './versions';

const version = generateVersion(
  '1',
  Array.from({length: 32}, (_, place) => `chunk-${place}`),
);

/** The stall time of a node that has learned nothing yet. */
const INITIAL_STALL_TIMEOUT_MS = 3_000;

describe('swarm node', () => {
  // A rollout stays at 99%. Order of events: a sender freezes in the middle of
  // a chunk with its connection open. Cause: nothing ends that download.
  test('a chunk on a frozen link is asked of another after a stall time', () => {
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

  // An answer on a shared connection belongs to another request. Cause: its
  // bytes are whole, so only the digest asked for tells that it is crossed.
  test('a crossed chunk is not stored for the one asked for', () => {
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

  test('a download of a shared chunk goes on when the version changes', () => {
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

  // A new instance costs the origin a part of a copy. Order of events: it
  // joins when all others hold the version, and hears so a moment later.
  test('hears its neighbours before it asks the origin', () => {
    const node = startNode(['a', 'b'], {holders: ['self', 'a', 'b']});
    expect(node.dump().downloads).toEqual([]);
    const all = have(version.manifest.chunks.map((_chunk, place) => place));
    dispatch(node, {kind: 'neighbourHave', neighbour: 'a', ...all}, 100);
    dispatch(node, {kind: 'neighbourHave', neighbour: 'b', ...all}, 110);
    dispatch(node, {kind: 'tick'}, 1_000);
    const senders = node.dump().downloads.map(download => download.sender);
    expect(senders).toEqual(['a', 'b']);
  });

  // An instance whose memory spoils what it sends never completes. Order of
  // events: its neighbours cut it off. Cause: they stop telling it, too.
  test('still tells what it holds to a sender that it cut off', () => {
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

  test('holds no more chunks in memory than its buffer takes', () => {
    const node = startNode([], {transferBuffer: 128, holders: ['self']});
    const asked = dispatch(node, {kind: 'tick'}, 1_000);
    const started = node.dump().downloads.length;
    expect(asked.length).toBeLessThanOrEqual(2);
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

  // After an outage nothing moves although the origin answers. Order of
  // events: all ask at once, so each download is slow; all give up and start
  // over. Cause: the time until giving up did not grow.
  test('gives a slow origin more time after each download given up', () => {
    const node = startNode([], {transferBuffer: 64, holders: ['self']});
    const asks: number[] = [];
    for (let at = 0; at <= 60_000; at += 100) {
      const effects = dispatch(node, {kind: 'tick'}, at);
      if (effects.some(effect => effect.kind === 'askOrigin')) asks.push(at);
    }
    expect(asks).toEqual([6_000, 18_000, 42_000]);
  });

  // An update of a few chunks takes as long as a whole version. Cause: chunks
  // that all hold already keep their turns at the origin.
  test('waits for no turns of chunks that it holds', () => {
    const digests = version.manifest.chunks.map(chunk => chunk.digest);
    const node = startNode([], {
      holders: ['self'],
      held: digests.slice(4),
      originBytesPerSecond: 64,
    });
    const asked: string[] = [];
    for (let at = 0; at <= 3_000; at += 100) {
      for (const effect of dispatch(node, {kind: 'tick'}, at)) {
        if (effect.kind !== 'askOrigin') continue;
        const {transfer, digest} = effect;
        asked.push(digest);
        const whole = {transfer, digest, verified: true} as const;
        dispatch(node, {kind: 'chunkArrived', ...whole}, at);
      }
    }
    expect(new Set(asked).size).toBe(3);
  });

  // One instance that stops reading slows all its neighbours. Order of events:
  // it asks for a chunk, freezes, and its upload keeps a slot. Cause: an open
  // stream alone counts as an upload in progress.
  test('stops an upload that the other side does not read', () => {
    const digests = version.manifest.chunks.map(chunk => chunk.digest);
    const node = startNode(['a', 'b', 'c'], {held: digests, uploadSlots: 1});
    const digest = digests[0]!;
    const ask = (upload: number, neighbour: string) =>
      dispatch(node, {kind: 'uploadAsked', upload, neighbour, digest}, 10);
    expect(ask(1, 'a')).toEqual([{kind: 'startUpload', upload: 1}]);
    expect(ask(2, 'b')).toEqual([]);
    expect(
      dispatch(node, {kind: 'tick'}, 10 + INITIAL_STALL_TIMEOUT_MS),
    ).toEqual([
      {kind: 'stopUpload', upload: 1},
      {kind: 'startUpload', upload: 2},
    ]);
  });

  test('tells a neighbour again that has lost its chunks', () => {
    const digests = version.manifest.chunks.map(chunk => chunk.digest);
    const node = startNode(['a'], {held: digests});
    dispatch(node, {kind: 'neighbourHave', neighbour: 'a', ...have([3])}, 5);
    const ask = {
      kind: 'uploadAsked',
      upload: 1,
      neighbour: 'a',
      digest: digests[3]!,
    } as const;
    expect(dispatch(node, ask, 10)).toContainEqual(
      expect.objectContaining({kind: 'announce', neighbours: ['a']}),
    );
  });

  test('leaves its slots to live requests while they queue', () => {
    const node = startNode(['a', 'b', 'c', 'd']);
    const load = {running: 4, queued: 4, slots: 4};
    dispatch(node, {kind: 'liveRequestLoad', ...load}, 1);
    ['a', 'b', 'c', 'd'].forEach((neighbour, place) => {
      const gained = have([place]);
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

/** A node that wants the version; others own every turn at the origin. */
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
