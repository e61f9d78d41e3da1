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

/** Longest wait for an answer to an opening packet. */
const CONNECT_TIMEOUT: Milliseconds = 400;

/** Tries at an address that gives no answer, and the pause between them. */
const MOST_TRIES = 4;
const PAUSE_BETWEEN_TRIES: Milliseconds = 300;

/** What an address answers to an opening packet. */
export type AddressState = 'listening' | 'closed' | 'unreachable';

/** What the watch needs. */
export interface CrashWatchOptions {
  readonly quarantine: Quarantine;
  readonly clock: Clock;
  readonly log: Log;
  readonly look?: (address: string) => Promise<AddressState>;
  /** Told when something seen here has changed the quarantine. */
  readonly onChange: (fingerprint: RequestFingerprint) => void;
}

/** Finds out whether targets have ended under requests. */
export interface CrashWatch {
  /** Looks whether anything listens at the target's address. */
  readonly look: (target: ListedTarget) => Promise<AddressState>;
  /** Notes that a request lost its connection to a target that ran it. */
  readonly noteLost: (
    fingerprint: RequestFingerprint,
    target: ListedTarget,
  ) => Promise<void>;
  /** Notes that the target's life is known to have ended with the request. */
  readonly noteEnded: (
    fingerprint: RequestFingerprint,
    target: ListedTarget,
  ) => void;
  /** Notes that a target has answered the request and lives on. */
  readonly noteCompleted: (fingerprint: RequestFingerprint) => void;
}

/**
 * Creates the watch. A lost connection alone says nothing of the target: links
 * reset too. It has ended if nothing listens at its address any more.
 */
export function createCrashWatch(options: CrashWatchOptions): CrashWatch {
  const {quarantine, clock, log, look = lookAt} = options;
  const looks = new Map<TargetIncarnation, Promise<AddressState>>();

  /** One look serves all requests of a target that want one at that time. */
  function lookOnce(target: ListedTarget): Promise<AddressState> {
    const life = targetIncarnationKey(target);
    const running = looks.get(life);
    if (running !== undefined) return running;
    const started = lookUntilAnswered(target.address).finally(() =>
      looks.delete(life),
    );
    looks.set(life, started);
    return started;
  }

  async function lookUntilAnswered(address: string): Promise<AddressState> {
    for (let tries = 1; ; tries += 1) {
      const state = await look(address);
      if (state !== 'unreachable' || tries >= MOST_TRIES) return state;
      await sleep(PAUSE_BETWEEN_TRIES);
    }
  }

  async function noteLost(
    fingerprint: RequestFingerprint,
    target: ListedTarget,
  ): Promise<void> {
    const endedAt = clock();
    const state = await lookOnce(target);
    if (state === 'closed') note(fingerprint, target, endedAt);
  }

  function note(
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
    look: lookOnce,
    noteLost,
    noteEnded: (fingerprint, target) => note(fingerprint, target, clock()),
    noteCompleted: fingerprint => {
      if (!quarantine.recordCompletion(fingerprint, clock())) return;
      log.info('suspicion of a request dropped', {fingerprint});
      options.onChange(fingerprint);
    },
  };
}

function lookAt(address: string): Promise<AddressState> {
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
