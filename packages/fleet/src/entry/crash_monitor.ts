import {
  targetIncarnationKey,
  type ListedTarget,
  type Milliseconds,
  type Quarantine,
  type RequestFingerprint,
  type TargetIncarnation,
} from '@hibiscusbeam/core';
import {sleep, type Clock, type Log} from '@hibiscusbeam/daemon';
import {connect} from 'node:net';

/** Timeout of a connection attempt. */
const CONNECT_TIMEOUT: Milliseconds = 400;

/** Probes of an address that doesn't respond, and the pause between them. */
const MAX_PROBES = 4;
const PAUSE_BETWEEN_PROBES: Milliseconds = 300;

/** Response of an address to a connection attempt. */
export type AddressState = 'listening' | 'closed' | 'unreachable';

/** Dependencies of the crash monitor. */
export interface CrashMonitorOptions {
  readonly quarantine: Quarantine;
  readonly clock: Clock;
  readonly log: Log;
  readonly probe?: (address: string) => Promise<AddressState>;
  /** Called when something observed here has changed the quarantine. */
  readonly onChange: (fingerprint: RequestFingerprint) => void;
}

/** Detects whether targets have ended while they ran requests. */
export interface CrashMonitor {
  /** Checks whether anything listens at the target's address. */
  readonly probe: (target: ListedTarget) => Promise<AddressState>;
  /** Records that a request lost its connection to a target that ran it. */
  readonly recordLostConnection: (
    fingerprint: RequestFingerprint,
    target: ListedTarget,
  ) => Promise<void>;
  /**
   * Records that the target's incarnation is known to have ended while it ran
   * the request.
   */
  readonly recordEnded: (
    fingerprint: RequestFingerprint,
    target: ListedTarget,
  ) => void;
  /** Records that a target has answered the request and still runs. */
  readonly recordCompleted: (fingerprint: RequestFingerprint) => void;
}

/**
 * Creates the monitor. A lost connection alone shows nothing about the target,
 * since links are reset too. The target has ended if nothing listens at its
 * address any more.
 */
export function createCrashMonitor(options: CrashMonitorOptions): CrashMonitor {
  const {quarantine, clock, log, probe = probeAddress} = options;
  const probes = new Map<TargetIncarnation, Promise<AddressState>>();

  /** Concurrent probes of a target share one result. */
  function probeOnce(target: ListedTarget): Promise<AddressState> {
    const life = targetIncarnationKey(target);
    const running = probes.get(life);
    if (running !== undefined) return running;
    const started = probeUntilAnswered(target.address).finally(() =>
      probes.delete(life),
    );
    probes.set(life, started);
    return started;
  }

  async function probeUntilAnswered(address: string): Promise<AddressState> {
    for (let tries = 1; ; tries += 1) {
      const state = await probe(address);
      if (state !== 'unreachable' || tries >= MAX_PROBES) return state;
      await sleep(PAUSE_BETWEEN_PROBES);
    }
  }

  async function recordLostConnection(
    fingerprint: RequestFingerprint,
    target: ListedTarget,
  ): Promise<void> {
    const endedAt = clock();
    const state = await probeOnce(target);
    if (state === 'closed') recordEnding(fingerprint, target, endedAt);
  }

  function recordEnding(
    fingerprint: RequestFingerprint,
    target: ListedTarget,
    endedAt: number,
  ): void {
    const ending = {life: targetIncarnationKey(target), endedAt};
    const wasQuarantined = quarantine.isQuarantined(fingerprint);
    if (!quarantine.recordEnding(fingerprint, ending)) return;
    const isQuarantined = quarantine.isQuarantined(fingerprint);
    const {instance} = target;
    log.info('target ended under a request', {fingerprint, instance});
    if (isQuarantined && !wasQuarantined) {
      log.warn('request quarantined', {fingerprint, instance});
    }
    options.onChange(fingerprint);
  }

  return {
    probe: probeOnce,
    recordLostConnection,
    recordEnded: (fingerprint, target) =>
      recordEnding(fingerprint, target, clock()),
    recordCompleted: fingerprint => {
      if (!quarantine.recordCompletion(fingerprint, clock())) return;
      log.info('request no longer suspected of ending targets', {fingerprint});
      options.onChange(fingerprint);
    },
  };
}

function probeAddress(address: string): Promise<AddressState> {
  const [host, port] = address.split(':');
  return new Promise(resolve => {
    const socket = connect({host, port: Number(port)});
    const end = (state: AddressState): void => {
      socket.destroy();
      resolve(state);
    };
    socket.setTimeout(CONNECT_TIMEOUT, () => end('unreachable'));
    socket.once('connect', () => end('listening'));
    socket.once('error', (error: NodeJS.ErrnoException) =>
      end(error.code === 'ECONNREFUSED' ? 'closed' : 'unreachable'),
    );
  });
}
