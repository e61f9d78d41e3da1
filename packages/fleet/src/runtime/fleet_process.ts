import type {Log, LogPart, RunningProcess} from '@hibiscusbeam/daemon';
import {readFileSync} from 'node:fs';
import {loadFleetSettings, type FleetSettings} from '../settings';
import {recheckSettings} from '../settings/settings_check';
import {createLogWriter, createProcessLogs} from './process_log';
import {
  createStartupLog,
  type StartupLog,
  type StartupPart,
} from './startup_log';

/** Settings of a process with the given role. */
export type SettingsOf<Role extends FleetSettings['role']> = Extract<
  FleetSettings,
  {readonly role: Role}
>;

/** Starts a process of a role, with the ports of a platform. */
export type StartRole<Role extends FleetSettings['role']> = (
  settings: SettingsOf<Role>,
  logs: (part: LogPart) => Log,
  startup: StartupLog,
) => Promise<RunningProcess>;

/** State that a process of each role needs before it can do its work. */
const REQUIRED_PARTS: Readonly<
  Record<FleetSettings['role'], readonly StartupPart[]>
> = {
  entry: ['configuration', 'members', 'targets', 'quarantine'],
  agent: ['services', 'members'],
};

/** Exit code of a process whose settings are missing or malformed. */
const EXIT_SETTINGS = 2;

/**
 * Runs one process of the fleet until it receives SIGTERM; never returns. The
 * environment variable `settingsVariable` holds the path of its settings, which
 * must be those of `role`.
 */
export async function runFleetProcess<Role extends FleetSettings['role']>(
  settingsVariable: string,
  role: Role,
  start: StartRole<Role>,
): Promise<never> {
  try {
    await runUntilStopped(settingsPath(settingsVariable), role, start);
  } catch (error) {
    console.error(error);
    process.exit(1);
  }
  process.exit(0);
}

async function runUntilStopped<Role extends FleetSettings['role']>(
  path: string,
  role: Role,
  start: StartRole<Role>,
): Promise<void> {
  const settings = readSettings(path, role);
  const writer = createLogWriter(() => performance.now());
  const logs = createProcessLogs(settings, writer);
  const log = logs('process');
  // Without a handler, the signal would end a process that is starting.
  process.on('SIGHUP', () =>
    recheckSettings(() => readFileSync(path, 'utf8'), settings, log),
  );
  const {instance, zone} = settings;
  log.info('starts', {instance, role, zone, pid: process.pid});
  const startup = createStartupLog(REQUIRED_PARTS[role], log);
  const running = await start(settings, logs, startup);
  log.info('serves');
  process.on('SIGTERM', () => {
    log.info('stops', {signal: 'SIGTERM'});
    void running.stop();
  });
  await running.stopped;
  log.info('stopped', {linesDropped: writer.dropped()});
}

function settingsPath(variable: string): string {
  const path = process.env[variable];
  if (path !== undefined) return path;
  console.error(`${variable} must name the settings file`);
  process.exit(EXIT_SETTINGS);
}

function readSettings<Role extends FleetSettings['role']>(
  path: string,
  role: Role,
): SettingsOf<Role> {
  const loaded = loadFleetSettings(readFileSync(path, 'utf8'));
  if (loaded.ok && hasRole(loaded.val, role)) return loaded.val;
  const faults = loaded.ok
    ? [{field: 'role', detail: `must be ${role}, which this program runs`}]
    : loaded.val;
  for (const {field, detail} of faults) {
    console.error(`${path}: ${field === '' ? 'the file' : field}: ${detail}`);
  }
  process.exit(EXIT_SETTINGS);
}

function hasRole<Role extends FleetSettings['role']>(
  settings: FleetSettings,
  role: Role,
): settings is SettingsOf<Role> {
  return settings.role === role;
}
