import type {IdentifiedManifest} from '@hibiscusbeam/core';
import {createOriginMover, createTreeMover} from './baseline_movers';
import {
  startInstance,
  type BenchInstance,
  type InstancePorts,
} from './instance';
import type {WorkerReport, WorkerCommand} from './messages';
import type {BenchOptions, Strategy} from './options';
import {createSwarmMover} from './swarm_mover';
import {generateVersion} from './version';

/** Interval between the CPU time reports of a worker. */
const CPU_REPORT_INTERVAL_MS = 250;

/** Runs some of the instances, controlled by the main process. */
export function runWorker(): void {
  let instances: readonly BenchInstance[] = [];
  let options: BenchOptions | undefined;
  let wanted: IdentifiedManifest | undefined;

  async function handleCommand(message: WorkerCommand): Promise<void> {
    switch (message.kind) {
      case 'begin':
        options = message.options;
        instances = await Promise.all(
          message.positions.map(position =>
            startInstance(position, message.options, message.originUrl, ports =>
              createMover(message.options.strategy, ports),
            ),
          ),
        );
        sendReport({kind: 'listening', peers: instances.map(({peer}) => peer)});
        setInterval(reportCpu, CPU_REPORT_INTERVAL_MS).unref();
        return;
      case 'peers':
        for (const {mover} of instances) mover.start(message.peers);
        sendReport({kind: 'connected'});
        return;
      case 'want':
        wanted = message.version;
        preload(message.preload);
        for (const instance of instances) {
          if (instance.isAlive()) void want(instance, message);
        }
        return;
      case 'fault': {
        const failing = instances.find(({peer}) =>
          peer.instance.endsWith(String(message.position).padStart(4, '0')),
        );
        failing?.injectFault(message.fault, message.time);
        return;
      }
      case 'finish':
        return finish();
    }
  }

  /** Generates the shared chunks, which depend only on the seed. */
  function preload(count: number): void {
    if (count === 0 || options === undefined) return;
    const {seed, chunkBytes} = options;
    const shared = generateVersion('', seed, count, chunkBytes, count);
    for (const [digest, bytes] of shared.content) {
      for (const {store} of instances) store.preload(digest, bytes);
    }
  }

  async function want(
    instance: BenchInstance,
    {version, superseded}: Extract<WorkerCommand, {kind: 'want'}>,
  ): Promise<void> {
    const isReady = await instance.mover.want(version, superseded);
    const {versionDigest} = version;
    if (!isReady) return;
    sendReport({
      kind: 'ready',
      instance: instance.peer.instance,
      versionDigest,
    });
  }

  function finish(): void {
    const live = instances.filter(instance => instance.isAlive());
    const sum = (valueOf: (instance: BenchInstance) => number) =>
      instances.reduce((total, instance) => total + valueOf(instance), 0);
    sendReport({
      kind: 'finished',
      verified: live.every(({store}) => store.verify(wanted!.manifest)),
      controlBytes: sum(
        ({mover, requestBytes}) =>
          (mover.sessions?.bytesSent() ?? 0) + requestBytes(),
      ),
      crossZoneBytes: sum(({mover}) => mover.crossZoneBytes()),
      requests: sum(({requests}) => requests()),
      neighbours: sum(({mover}) => mover.neighbourCount()),
      cutOffs: sum(({mover}) => mover.cutOffs()),
    });
  }

  process.on(
    'message',
    message => void handleCommand(message as WorkerCommand),
  );
  process.on('disconnect', () => process.exit(0));
}

function createMover(strategy: Strategy, ports: InstancePorts) {
  switch (strategy) {
    case 'swarm':
      return createSwarmMover(ports);
    case 'origin':
      return createOriginMover(ports);
    case 'tree':
      return createTreeMover(ports);
  }
}

function reportCpu(): void {
  sendReport({kind: 'cpu', seconds: cpuSeconds()});
}

function sendReport(message: WorkerReport): void {
  process.send?.(message);
}

/** CPU time of this process so far, in seconds. */
export function cpuSeconds(): number {
  const {user, system} = process.cpuUsage();
  return (user + system) / 1_000_000;
}
