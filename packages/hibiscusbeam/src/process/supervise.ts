import type {Log, RunningProcess} from '@hibiscusbeam/daemon';
import {EXIT_CODES, type ExitCode} from '../exit_codes';

/**
 * Calls `listener` on SIGTERM and SIGINT; returns a function to unsubscribe.
 */
export type SignalSource = (listener: (signal: string) => void) => () => void;

/** Options of {@link superviseProcess}. */
export interface SuperviseOptions {
  readonly start: () => Promise<RunningProcess>;
  readonly signals: SignalSource;
  readonly log: Log;
  /** Called once the process is ready. */
  readonly onReady: () => void;
}

/**
 * Runs an entry or agent until it stops and returns the exit code. The first
 * signal stops it gracefully, even during startup; the second exits at once.
 */
export async function superviseProcess(
  options: SuperviseOptions,
): Promise<ExitCode> {
  const {log} = options;
  let signalCount = 0;
  let requestStop = (): void => undefined;
  let requestExit = (): void => undefined;
  const firstSignal = new Promise<void>(resolve => (requestStop = resolve));
  const secondSignal = new Promise<void>(resolve => (requestExit = resolve));
  const unsubscribe = options.signals(signal => {
    signalCount += 1;
    log.info(signalCount === 1 ? 'stopping gracefully' : 'ending at once', {
      signal,
    });
    if (signalCount === 1) requestStop();
    else requestExit();
  });
  const exited = secondSignal.then((): ExitCode => EXIT_CODES.refused);
  try {
    return await Promise.race([runToStop(options, firstSignal), exited]);
  } catch (error) {
    log.error('the process failed', {error});
    return EXIT_CODES.refused;
  } finally {
    unsubscribe();
  }
}

async function runToStop(
  {start, onReady, log}: SuperviseOptions,
  firstSignal: Promise<void>,
): Promise<ExitCode> {
  const running = await start();
  onReady();
  const stop = firstSignal.then(() => running.stop());
  await Promise.race([running.stopped, stop]);
  await running.stopped;
  log.info('stopped');
  return EXIT_CODES.ok;
}
