import {fork, type ChildProcess} from 'node:child_process';
import type {WorkerReport, WorkerCommand} from './messages';

/** Command line argument that starts the program as a worker. */
export const WORKER_ARGUMENT = 'run-instances';

/** The worker processes that run the instances. */
export interface Workers {
  readonly count: number;
  readonly send: (worker: number, message: WorkerCommand) => void;
  readonly sendAll: (message: WorkerCommand) => void;
  /** Waits for one message of the kind from every worker. */
  readonly receiveFromAll: <Kind extends WorkerReport['kind']>(
    kind: Kind,
  ) => Promise<readonly Extract<WorkerReport, {kind: Kind}>[]>;
  readonly onReady: (
    listener: (message: Extract<WorkerReport, {kind: 'ready'}>) => void,
  ) => void;
  /** CPU time of each worker so far, in seconds. */
  readonly cpuSeconds: () => readonly number[];
  readonly stop: () => void;
}

/** Starts the worker processes. */
export function startWorkers(count: number): Workers {
  const children: readonly ChildProcess[] = Array.from({length: count}, () =>
    fork(process.argv[1]!, [WORKER_ARGUMENT]),
  );
  const cpu = children.map(() => 0);
  const received = new Map<string, WorkerReport[]>();
  const waiters = new Map<string, () => void>();
  let readyListener: (
    message: Extract<WorkerReport, {kind: 'ready'}>,
  ) => void = () => {};
  children.forEach((child, worker) => {
    child.on('message', sent => {
      const message = sent as WorkerReport;
      if (message.kind === 'cpu') cpu[worker] = message.seconds;
      else if (message.kind === 'ready') readyListener(message);
      else {
        received.set(message.kind, [
          ...(received.get(message.kind) ?? []),
          message,
        ]);
        waiters.get(message.kind)?.();
      }
    });
  });

  return {
    count,
    send: (worker, message) => void children[worker]!.send(message),
    sendAll(message) {
      for (const child of children) child.send(message);
    },
    async receiveFromAll<Kind extends WorkerReport['kind']>(kind: Kind) {
      while ((received.get(kind)?.length ?? 0) < count) {
        await new Promise<void>(resolve => waiters.set(kind, resolve));
      }
      const messages = received.get(kind) ?? [];
      received.delete(kind);
      return messages as Extract<WorkerReport, {kind: Kind}>[];
    },
    onReady: listener => void (readyListener = listener),
    cpuSeconds: () => [...cpu],
    stop() {
      for (const child of children) child.kill();
    },
  };
}
