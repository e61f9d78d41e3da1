import {
  targetIncarnationKey,
  type ListedTarget,
  type Milliseconds,
  type MonotonicInstant,
  type Quarantine,
  type Suspect,
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

/** An attempt at a target that may have ended because of it. */
export interface SuspectedAttempt {
  readonly target: ListedTarget;
  readonly sentAt: MonotonicInstant;
  /** The request and the parts of its prompt, in order. */
  readonly suspects: readonly Suspect[];
}

/** Dependencies of the crash monitor. */
export interface CrashMonitorOptions {
  readonly quarantine: Quarantine;
  readonly clock: Clock;
  readonly log: Log;
  readonly probe?: (address: string) => Promise<AddressState>;
  /** Called when other entries need what was observed here. */
  readonly onChange: () => void;
}

/** Detects whether targets have ended while they ran requests. */
export interface CrashMonitor {
  /** Checks whether anything listens at the target's address. */
  readonly probe: (target: ListedTarget) => Promise<AddressState>;
  /** Records that an attempt lost its connection to its target. */
  readonly recordLostConnection: (attempt: SuspectedAttempt) => Promise<void>;
  /** Records that the target's incarnation is known to have ended. */
  readonly recordEnded: (attempt: SuspectedAttempt) => void;
  /** Records that a target has begun an answer and still runs. */
  readonly recordAnswered: (
    suspects: readonly Suspect[],
    begunAt: MonotonicInstant,
  ) => void;
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
    attempt: SuspectedAttempt,
  ): Promise<void> {
    const endedAt = clock();
    const state = await probeOnce(attempt.target);
    if (state === 'closed') recordEnding(attempt, endedAt);
  }

  function recordEnding(
    {suspects, target, sentAt}: SuspectedAttempt,
    endedAt: MonotonicInstant,
  ): void {
    const ending = {life: targetIncarnationKey(target), sentAt, endedAt};
    const added = quarantine.recordEnding(suspects, ending);
    if (added.length === 0) return;
    const {instance} = target;
    log.info('target ended under a request', {suspects: added, instance});
    options.onChange();
  }

  function recordAnswered(
    suspects: readonly Suspect[],
    begunAt: MonotonicInstant,
  ): void {
    const cleared = suspects.filter(suspect =>
      quarantine.recordAnswer(suspect, begunAt),
    );
    if (cleared.length > 0) options.onChange();
  }

  return {
    probe: probeOnce,
    recordLostConnection,
    recordEnded: attempt => recordEnding(attempt, clock()),
    recordAnswered,
  };
}

/** An address that can't be connected to at all shows nothing. */
function probeAddress(address: string): Promise<AddressState> {
  return connectTo(address).catch(() => 'unreachable');
}

function connectTo(address: string): Promise<AddressState> {
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
