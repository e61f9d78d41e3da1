import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import type {SwarmPeer} from '@hibiscusbeam/daemon';
import type {BenchOptions} from './options';
import {startOrigin, type Origin} from './origin';
import {lowerBoundSeconds, quantile, round, type BenchResult} from './result';
import {generateVersion, type BenchVersion} from './version';
import {cpuSeconds} from './worker';
import {startWorkers, type Workers} from './workers';

/** Time for sessions to open before the measurement starts. */
const SETTLE_TIME_MS = 1_500;

/** A run that takes more windows than this has failed. */
const MAX_RUN_WINDOWS = 60;

/** Start and duration of faults, as shares of the lower bound. */
const FAULT_START_SHARE = 0.3;
const OUTAGE_START_SHARE = 0.1;
const FAULT_DURATION_SHARE = 0.2;

/** Position of the instance that faults are injected into. */
const FAULTY_POSITION = 1;

/** Delay after a kill until the instance list no longer names the instance. */
const LIST_DELAY_MS = 2_000;

/** Runs the benchmark once. */
export async function runBench(options: BenchOptions): Promise<BenchResult> {
  const versionBytes = options.chunks * options.chunkBytes;
  const originRate = (4 * versionBytes) / options.windowSeconds;
  const origin = await startOrigin(originRate, options.chunkBytes);
  const workers = startWorkers(options.processes);
  try {
    const peers = await startInstances(options, workers, origin);
    return await measure(options, workers, origin, peers);
  } finally {
    workers.stop();
    origin.close();
  }
}

async function startInstances(
  options: BenchOptions,
  workers: Workers,
  origin: Origin,
): Promise<readonly SwarmPeer[]> {
  const positions = Array.from({length: options.instances}, (_, i) => i);
  for (let worker = 0; worker < workers.count; worker += 1) {
    workers.send(worker, {
      kind: 'begin',
      options,
      positions: positions.filter(
        position => position % workers.count === worker,
      ),
      originUrl: origin.url,
    });
  }
  const listening = await workers.receiveFromAll('listening');
  const peers = listening.flatMap(message => message.peers);
  workers.sendAll({kind: 'peers', peers});
  await workers.receiveFromAll('connected');
  return peers;
}

async function measure(
  options: BenchOptions,
  workers: Workers,
  origin: Origin,
  peers: readonly SwarmPeer[],
): Promise<BenchResult> {
  const sharedChunks = Math.round(options.shared * options.chunks);
  const version = generate('2', options, sharedChunks);
  origin.publish(version.content);
  const lowerBound = lowerBoundSeconds(options);
  const preload = options.reuse ? sharedChunks : 0;
  await sleep(SETTLE_TIME_MS);
  const cpuBefore = [cpuSeconds(), ...workers.cpuSeconds()];
  let startedAt = performance.now();
  let bytesBefore = 0;
  let expectedVersion = version;
  const doneAt = new Map<string, number>();
  const expected =
    options.fault === 'kill' ? options.instances - 1 : options.instances;
  const allDone = new Promise<void>((resolve, reject) => {
    workers.onReady(({instance, versionDigest}) => {
      if (versionDigest !== expectedVersion.versionDigest) return;
      if (options.fault === 'kill' && isFaulty(instance)) return;
      doneAt.set(instance, performance.now());
      if (doneAt.size === expected) resolve();
    });
    const timeout = MAX_RUN_WINDOWS * options.windowSeconds * 1000;
    setTimeout(() => reject(new Error('not all done')), timeout).unref();
  });
  requestVersion(workers, version, undefined, preload);
  const runningFault = injectFault(
    options,
    workers,
    origin,
    peers,
    lowerBound,
    () => {
      const next = generate('3', options, 0);
      origin.publish(next.content);
      expectedVersion = next;
      doneAt.clear();
      startedAt = performance.now();
      bytesBefore = origin.bytesSent();
      requestVersion(workers, next, version.versionDigest, 0);
    },
  );
  await runningFault;
  await allDone;
  const seconds = (performance.now() - startedAt) / 1000;
  const cpu = [cpuSeconds(), ...workers.cpuSeconds()].map(
    (used, position) => (used - cpuBefore[position]!) / seconds,
  );
  workers.sendAll({kind: 'finish'});
  const finished = await workers.receiveFromAll('finished');
  const total = (
    key: 'controlBytes' | 'crossZoneBytes' | 'neighbours' | 'requests',
  ) => finished.reduce((sum, message) => sum + message[key], 0);
  const times = [...doneAt.values()]
    .map(at => (at - startedAt) / 1000)
    .sort((left, right) => left - right);
  const versionBytes = options.chunks * options.chunkBytes;
  return {
    strategy: options.strategy,
    prefer: options.prefer,
    fault: options.fault,
    instances: options.instances,
    replicas: doneAt.size,
    seconds: round(seconds),
    lowerBoundSeconds: round(lowerBound),
    ratio: round(seconds / lowerBound),
    originCopies: round((origin.bytesSent() - bytesBefore) / versionBytes),
    p50Seconds: round(quantile(times, 0.5)),
    p99Seconds: round(quantile(times, 0.99)),
    verified: finished.every(message => message.verified),
    controlBytesPerNodePerSecond: Math.round(
      total('controlBytes') / options.instances / seconds,
    ),
    cpuShare: round(Math.max(...cpu)),
    crossZoneCopies: round(total('crossZoneBytes') / versionBytes),
    requestsPerChunk: round(
      total('requests') / options.instances / options.chunks,
    ),
    neighbours: round(total('neighbours') / options.instances),
    chunks: options.chunks,
    chunkBytes: options.chunkBytes,
    windowSeconds: options.windowSeconds,
    shared: options.shared,
    reuse: options.reuse,
    seed: options.seed,
  };
}

async function injectFault(
  options: BenchOptions,
  workers: Workers,
  origin: Origin,
  peers: readonly SwarmPeer[],
  lowerBound: number,
  supersede: () => void,
): Promise<void> {
  const at =
    options.fault === 'origin-outage' ? OUTAGE_START_SHARE : FAULT_START_SHARE;
  const time = FAULT_DURATION_SHARE * lowerBound * 1000;
  if (options.fault === 'none') return;
  await sleep(at * lowerBound * 1000);
  if (options.fault === 'supersede') return supersede();
  if (options.fault === 'origin-outage') return origin.startOutage(time);
  workers.sendAll({
    kind: 'fault',
    fault: options.fault,
    position: FAULTY_POSITION,
    time,
  });
  if (options.fault !== 'kill') return;
  await sleep(LIST_DELAY_MS);
  const live = peers.filter(({instance}) => !isFaulty(instance));
  workers.sendAll({kind: 'peers', peers: live});
}

function requestVersion(
  workers: Workers,
  {versionDigest, manifest}: BenchVersion,
  superseded: string | undefined,
  preload: number,
): void {
  const version = {versionDigest, manifest};
  workers.sendAll({kind: 'want', version, superseded, preload});
}

function generate(
  label: string,
  options: BenchOptions,
  sharedChunks: number,
): BenchVersion {
  const {seed, chunks, chunkBytes} = options;
  return generateVersion(label, seed, chunks, chunkBytes, sharedChunks);
}

function isFaulty(instance: string): boolean {
  return instance.endsWith(String(FAULTY_POSITION).padStart(4, '0'));
}
