import {
  createSwarmNode,
  unreachable,
  type Digest,
  type InstanceName,
  type StoreIncarnation,
  type SwarmEffect,
  type SwarmEvent,
  type TransferId,
  type VersionDigest,
} from '@hibiscusbeam/core';
import {performance} from 'node:perf_hooks';
import {createDownloads} from './downloads';
import {createPacer} from './pacer';
import type {
  SwarmDriver,
  SwarmDriverOptions,
  SwarmPeer,
  WaitOutcome,
} from './types';
import {createUploadGate} from './upload_gate';

/** Wait before the store's chunks are listed again after an error. */
const STORE_RETRY_DELAY_MS = 500;

/** Creates the driver with which an agent takes part in the swarm. */
export function createSwarmDriver(options: SwarmDriverOptions): SwarmDriver {
  const now = options.now ?? (() => performance.now());
  const node = createSwarmNode(options);
  const {linkBytesPerSecond} = options;
  const share = (): number =>
    Math.min(node.transferShare(), options.linkShare?.() ?? 1);
  const downLink = createPacer(linkBytesPerSecond, share, now);
  const upLink = createPacer(linkBytesPerSecond, share, now);
  const downloads = createDownloads(options, downLink, dispatch);
  const uploads = createUploadGate(options.store, upLink, dispatch);
  const waiters = new Map<VersionDigest, ((outcome: WaitOutcome) => void)[]>();
  let addresses: ReadonlyMap<InstanceName, string> = new Map();
  let timer: NodeJS.Timeout | undefined;
  let stopped = false;

  function dispatch(event: SwarmEvent): void {
    if (stopped) return;
    for (const effect of node.handle(event, now())) runEffect(effect);
    scheduleWakeUp();
  }

  function scheduleWakeUp(): void {
    clearTimeout(timer);
    const at = node.nextWakeUp();
    if (at === undefined) return;
    const delay = Math.max(1, Math.ceil(at - now()));
    timer = setTimeout(() => dispatch({kind: 'tick'}), delay);
  }

  function runEffect(effect: SwarmEffect): void {
    switch (effect.kind) {
      case 'askOrigin':
        return downloads.fromOrigin(
          effect.transfer,
          effect.digest,
          effect.size,
        );
      case 'askNeighbour':
        return downloads.fromPeer(
          effect.transfer,
          addresses.get(effect.neighbour),
          effect.digest,
          effect.size,
        );
      case 'cancel':
        return downloads.cancel(effect.transfer);
      case 'storeChunk':
        void storeChunk(effect.transfer, effect.digest, effect.life);
        return;
      case 'announce':
        return announce(effect.neighbours, effect.versionDigest, effect.gained);
      case 'ready':
        return reportReady(effect.versionDigest);
      case 'cutOff':
        return options.onCutOff?.(effect.neighbour);
      case 'startUpload':
        return uploads.start(effect.upload);
      case 'refuseUpload':
        return uploads.refuse(effect.upload, effect.failure);
      case 'stopUpload':
        return uploads.stop(effect.upload);
      default:
        unreachable(effect);
    }
  }

  async function storeChunk(
    transfer: TransferId,
    digest: Digest,
    life: StoreIncarnation,
  ): Promise<void> {
    const pieces = downloads.receivedPieces(transfer) ?? [];
    const stored = await options.store.put(digest, pieces);
    if (stored.ok) dispatch({kind: 'chunkStored', digest, life});
    else dispatch({kind: 'storeFailed', digest});
  }

  function announce(
    neighbours: readonly InstanceName[],
    versionDigest: VersionDigest,
    gained: readonly number[],
  ): void {
    for (const neighbour of neighbours) {
      options.sendHaveDelta(neighbour, {versionDigest, gained});
    }
  }

  function reportReady(versionDigest: VersionDigest): void {
    resolveWaiters(versionDigest, 'ready');
    options.onReady?.(versionDigest);
  }

  function resolveWaiters(
    versionDigest: VersionDigest,
    outcome: WaitOutcome,
  ): void {
    const resolvers = waiters.get(versionDigest) ?? [];
    waiters.delete(versionDigest);
    for (const resolve of resolvers) resolve(outcome);
  }

  async function refreshHeld(): Promise<void> {
    while (!stopped) {
      const held = await options.store.list();
      if (held.ok) {
        dispatch({kind: 'heldReported', ...held.val});
        return;
      }
      await new Promise(resolve => setTimeout(resolve, STORE_RETRY_DELAY_MS));
    }
  }

  function setPeers(peers: readonly SwarmPeer[]): void {
    addresses = new Map(
      peers.map(peer => [peer.instance, peer.address] as const),
    );
    const members = peers.map(({instance, zone}) => ({instance, zone}));
    dispatch({kind: 'membersChanged', members});
  }

  function isReady(versionDigest: VersionDigest): boolean {
    const isSame = (entry: {readonly versionDigest: VersionDigest}) =>
      entry.versionDigest === versionDigest;
    return node.progress().find(isSame)?.ready === true;
  }

  return {
    start: refreshHeld,
    stop() {
      stopped = true;
      clearTimeout(timer);
      downloads.cancelAll();
      uploads.stopAll();
      for (const version of [...waiters.keys()]) {
        resolveWaiters(version, 'abandoned');
      }
    },
    setPeers,
    neighbours: node.neighbours,
    heldPositions: node.heldPositions,
    isHaveKnown: node.isHaveKnown,
    isFullyReachable: node.isFullyReachable,
    want(versionDigest, manifest, wanted) {
      dispatch({kind: 'versionWanted', versionDigest, manifest, ...wanted});
    },
    abandon(versionDigest) {
      dispatch({kind: 'versionSuperseded', versionDigest});
      resolveWaiters(versionDigest, 'abandoned');
    },
    whenReady(versionDigest) {
      if (isReady(versionDigest)) return Promise.resolve('ready');
      return new Promise(resolve => {
        const resolvers = waiters.get(versionDigest) ?? [];
        waiters.set(versionDigest, [...resolvers, resolve]);
      });
    },
    onPeerConnected: neighbour =>
      dispatch({kind: 'neighbourConnected', neighbour}),
    onPeerGone: neighbour => dispatch({kind: 'neighbourGone', neighbour}),
    onHaveDelta: (neighbour, {versionDigest, gained}) =>
      dispatch({kind: 'neighbourHave', neighbour, versionDigest, gained}),
    onLiveLoad: load => dispatch({kind: 'liveRequestLoad', ...load}),
    refreshHeld,
    serveChunk: uploads.serve,
    progress: node.progress,
    dump: node.dump,
  };
}
