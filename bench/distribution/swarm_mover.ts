import {createSwarmDriver} from '@hibiscusbeam/daemon';
import {
  answerPaced,
  instanceName,
  type InstancePorts,
  type Mover,
} from './instance';
import {createSessions} from './sessions';

/** Maximum number of chunks that downloads buffer in memory. */
const BUFFERED_CHUNKS = 16;

/** Creates a mover that uses the swarm driver of the agent. */
export function createSwarmMover(ports: InstancePorts): Mover {
  const {options} = ports;
  const versionBytes = options.chunks * options.chunkBytes;
  const originRate = (4 * versionBytes) / options.windowSeconds;
  const sessions = createSessions(
    ports.instance,
    ports.peerClient,
    () => driver,
  );
  let cutOffs = 0;
  const driver = createSwarmDriver({
    instance: ports.instance,
    zone: ports.zone,
    seed: options.seed * 1000 + ports.position,
    weights: ports.fromOrigin,
    store: ports.store,
    transferBuffer: BUFFERED_CHUNKS * options.chunkBytes,
    originBytesPerSecond:
      options.originRate === 'known' ? originRate : undefined,
    downloadSlots: options.downloadSlots,
    uploadSlots: options.uploadSlots,
    ownZonePicks: options.ownZonePicks,
    crossZonePicks: options.crossZonePicks,
    fetchChunk: ports.fromPeer,
    sendHaveDelta(instance, delta) {
      const haveDelta = {...delta, gained: [...delta.gained]};
      const message = {$case: 'haveDelta' as const, haveDelta};
      sessions.send(instance, {message});
    },
    onCutOff: () => (cutOffs += 1),
  });
  const holders = Array.from({length: options.instances}, (_, position) =>
    instanceName(position),
  );
  let currentPeers: Parameters<Mover['start']>[0] = [];
  let crossZoneBytes = 0;

  function recordCrossZoneBytes(): void {
    for (const version of driver.progress()) {
      crossZoneBytes = Math.max(crossZoneBytes, version.crossZoneBytes);
    }
  }

  return {
    sessions,
    start(peers) {
      const others = peers.filter(peer => peer.instance !== ports.instance);
      currentPeers = others;
      driver.setPeers(others);
    },
    async want(version, superseded) {
      if (superseded === undefined) await driver.start();
      else driver.abandon(superseded);
      driver.want(version.versionDigest, version.manifest, {
        prefer: options.prefer,
        holders,
      });
      const neighbours = new Set(driver.neighbours());
      for (const peer of currentPeers) {
        if (neighbours.has(peer.instance)) sessions.connect(peer);
      }
      const outcome = await driver.whenReady(version.versionDigest);
      recordCrossZoneBytes();
      return outcome === 'ready';
    },
    answer: call => answerPaced(ports, call, driver.serveChunk),
    neighbourCount: () => driver.neighbours().length,
    crossZoneBytes: () => crossZoneBytes,
    cutOffs: () => cutOffs,
    stop: () => driver.stop(),
  };
}
