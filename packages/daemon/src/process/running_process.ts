import type {RunningProcess} from '../types/process';

/** What a process does when it starts and stops. */
export interface ProcessLifecycle {
  readonly start: () => Promise<void>;
  readonly stop: () => Promise<void>;
}

/** Starts a process; resolves once it serves. */
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
