import type {
  FleetAgentSettings,
  FleetEntrySettings,
  FleetSettings,
} from '@hibiscusbeam/fleet';
import {spawn, type ChildProcess} from 'node:child_process';
import {
  createWriteStream,
  mkdirSync,
  readFileSync,
  writeFileSync,
} from 'node:fs';
import {join, resolve} from 'node:path';

/** Built by `scripts/programs.mjs`, as `npm test` does. */
const PROGRAMS = {
  entry: resolve('dist/fleet_entry.cjs'),
  agent: resolve('dist/fleet_agent.cjs'),
};

/** A process of the fleet that is restarted whenever it exits. */
export interface FleetProcess {
  /** Sends a signal to the running process, if there is one. */
  readonly signal: (signal: NodeJS.Signals) => void;
  /** Id of the running process; undefined between two of them. */
  readonly processId: () => number | undefined;
  /** What all its lives have written so far. */
  readonly output: () => string;
  /** Kills the process and prevents further restarts. */
  readonly close: () => Promise<void>;
}

/** An entry in a separate process. */
export interface EntryProcess extends FleetProcess {
  readonly callerAddress: string;
  readonly readinessAddress: string;
}

/** Options of a process. */
export interface FleetProcessOptions<Settings extends FleetSettings> {
  readonly settings: Settings;
  /** Folder for the settings file and the log. */
  readonly folder: string;
  /** Delay before a restart, in milliseconds. */
  readonly pause: number;
  /** Flags of Node.js. */
  readonly flags?: readonly string[];
}

/** Starts an entry process. */
export function startEntryProcess(
  options: FleetProcessOptions<FleetEntrySettings>,
): EntryProcess {
  const {callerAddress, readinessAddress} = options.settings;
  return {...startFleetProcess(options), callerAddress, readinessAddress};
}

/** Starts an agent process. */
export function startAgentProcess(
  options: FleetProcessOptions<FleetAgentSettings>,
): FleetProcess {
  return startFleetProcess(options);
}

function startFleetProcess(
  options: FleetProcessOptions<FleetSettings>,
): FleetProcess {
  const {settings, folder, pause, flags = []} = options;
  mkdirSync(folder, {recursive: true});
  const file = join(folder, `${settings.instance}.yaml`);
  writeFileSync(file, JSON.stringify(settings));
  const logFile = join(folder, `${settings.instance}.log`);
  const log = createWriteStream(logFile);
  let child: ChildProcess | undefined;
  let isClosed = false;

  function start(): void {
    if (isClosed) return;
    child = spawn(process.execPath, [...flags, PROGRAMS[settings.role]], {
      env: {...process.env, HIBISCUSBEAM_CONFIG: file},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    child.stdout?.pipe(log, {end: false});
    child.stderr?.pipe(log, {end: false});
    child.once('exit', () => {
      child = undefined;
      setTimeout(start, pause);
    });
  }

  start();
  return {
    signal: signal => void child?.kill(signal),
    processId: () => child?.pid,
    output: () => readFileSync(logFile, 'utf8'),
    close: () => {
      isClosed = true;
      const ended = new Promise<void>(resolve => {
        if (child === undefined) resolve();
        else child.once('exit', () => resolve());
      });
      child?.kill('SIGKILL');
      return ended;
    },
  };
}
