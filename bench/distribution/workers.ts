import {fork, type ChildProcess} from 'node:child_process';
import type {FromWorker, ToWorker} from './messages';

/** Argument that makes the bench's program one of its own processes. */
export const WORKER_ARGUMENT = 'run-instances';

/** The processes that run the instances. */
export interface Workers {
  readonly count: number;
  readonly tell: (worker: number, message: ToWorker) => void;
  readonly tellAll: (message: ToWorker) => void;
  /** Waits for one message of a kind from every process. */
  readonly fromAll: <Kind extends FromWorker['kind']>(
    kind: Kind,
  ) => Promise<readonly Extract<FromWorker, {kind: Kind}>[]>;
  readonly onReady: (
    listener: (message: Extract<FromWorker, {kind: 'ready'}>) => void,
  ) => void;
  /** CPU time of each process so far, in seconds. */
  readonly cpuSeconds: () => readonly number[];
  readonly stop: () => void;
}

/** Starts the processes. */
export function startWorkers(count: number): Workers {
  const children: readonly ChildProcess[] = Array.from({length: count}, () =>
    fork(process.argv[1]!, [WORKER_ARGUMENT]),
  );
  const cpu = children.map(() => 0);
  const kept = new Map<string, FromWorker[]>();
  const waiting = new Map<string, () => void>();
  let readyListener: (
    message: Extract<FromWorker, {kind: 'ready'}>,
  ) => void = () => {};
  children.forEach((child, worker) => {
    child.on('message', sent => {
      const message = sent as FromWorker;
      if (message.kind === 'cpu') cpu[worker] = message.seconds;
      else if (message.kind === 'ready') readyListener(message);
      else {
        kept.set(message.kind, [...(kept.get(message.kind) ?? []), message]);
        waiting.get(message.kind)?.();
      }
    });
  });

  return {
    count,
    tell: (worker, message) => void children[worker]!.send(message),
    tellAll(message) {
      for (const child of children) child.send(message);
    },
    async fromAll<Kind extends FromWorker['kind']>(kind: Kind) {
      while ((kept.get(kind)?.length ?? 0) < count) {
        await new Promise<void>(resolve => waiting.set(kind, resolve));
      }
      const messages = kept.get(kind) ?? [];
      kept.delete(kind);
      return messages as Extract<FromWorker, {kind: Kind}>[];
    },
    onReady: listener => void (readyListener = listener),
    cpuSeconds: () => [...cpu],
    stop() {
      for (const child of children) child.kill();
    },
  };
}
