import type {RunningProcess} from '../types/process';

/** How a process starts and stops. */
export interface ProcessLifecycle {
  readonly start: () => Promise<void>;
  readonly stop: () => Promise<void>;
}

/** Starts a process; resolves once it is serving. */
export async function startProcess(
  lifecycle: ProcessLifecycle,
): Promise<RunningProcess> {
  await lifecycle.start();
  let finish = (): void => undefined;
  const stopped = new Promise<void>(resolve => (finish = resolve));
  return {
    stopped,
    stop: async () => {
      await lifecycle.stop();
      finish();
    },
  };
}
