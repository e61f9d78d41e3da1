import type {Log, LogPart, RunningProcess} from '@hibiscusbeam/daemon';
import {readFileSync} from 'node:fs';
import {loadFleetSettings, type FleetSettings} from '../settings';
import {checkSettingsAgain} from '../settings/settings_check';
import {createLogWriter, createProcessLogs} from './process_log';

/** Starts the role that the settings name, with the ports of a platform. */
export type StartRole = (
  settings: FleetSettings,
  logs: (part: LogPart) => Log,
) => Promise<RunningProcess>;

/** Exit code of a process whose settings are missing or malformed. */
const EXIT_SETTINGS = 2;

/**
 * Runs one process of the fleet until it is told to stop; never returns. The
 * environment variable `settingsVariable` holds the path of its settings.
 */
export async function runFleetProcess(
  settingsVariable: string,
  start: StartRole,
): Promise<never> {
  try {
    await runUntilStopped(settingsPath(settingsVariable), start);
  } catch (error) {
    console.error(error);
    process.exit(1);
  }
  process.exit(0);
}

async function runUntilStopped(path: string, start: StartRole): Promise<void> {
  const settings = readSettings(path);
  const writer = createLogWriter(() => performance.now());
  const logs = createProcessLogs(settings, writer);
  const log = logs('process');
  const {instance, role, zone} = settings;
  log.info('starts', {instance, role, zone, pid: process.pid});
  const running = await start(settings, logs);
  log.info('serves');
  process.on('SIGTERM', () => {
    log.info('stops', {signal: 'SIGTERM'});
    void running.stop();
  });
  process.on('SIGHUP', () =>
    checkSettingsAgain(() => readFileSync(path, 'utf8'), settings, log),
  );
  await running.stopped;
  log.info('stopped', {linesDropped: writer.dropped()});
}

function settingsPath(variable: string): string {
  const path = process.env[variable];
  if (path !== undefined) return path;
  console.error(`${variable} must name the settings file`);
  process.exit(EXIT_SETTINGS);
}

function readSettings(path: string): FleetSettings {
  const loaded = loadFleetSettings(readFileSync(path, 'utf8'));
  if (loaded.ok) return loaded.val;
  for (const {field, detail} of loaded.val) {
    console.error(`${path}: ${field === '' ? 'the file' : field}: ${detail}`);
  }
  process.exit(EXIT_SETTINGS);
}
