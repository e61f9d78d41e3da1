import type {FleetEntrySettings} from '@hibiscusbeam/fleet';
import {spawn, type ChildProcess} from 'node:child_process';
import {createWriteStream, mkdirSync, writeFileSync} from 'node:fs';
import {join, resolve} from 'node:path';

/** Built by `scripts/programs.mjs`, as `npm test` does. */
const PROGRAM = resolve('dist/fleet_entry.cjs');

/** An entry in a separate process that is restarted whenever it exits. */
export interface EntryProcess {
  readonly callerAddress: string;
  readonly readinessAddress: string;
  /** Sends a signal to the running process, if there is one. */
  readonly signal: (signal: NodeJS.Signals) => void;
  /** Id of the running process; undefined between two of them. */
  readonly processId: () => number | undefined;
  /** Kills the process and prevents further restarts. */
  readonly close: () => Promise<void>;
}

/** Options of an entry process. */
export interface EntryProcessOptions {
  readonly settings: FleetEntrySettings;
  /** Folder for the settings file and the log. */
  readonly folder: string;
  /** Delay before a restart, in milliseconds. */
  readonly pause: number;
  /** Flags of Node.js. */
  readonly flags?: readonly string[];
}

/** Starts an entry process. */
export function startEntryProcess(options: EntryProcessOptions): EntryProcess {
  const {settings, folder, pause, flags = []} = options;
  mkdirSync(folder, {recursive: true});
  const file = join(folder, `${settings.instance}.yaml`);
  writeFileSync(file, JSON.stringify(settings));
  const log = createWriteStream(join(folder, `${settings.instance}.log`));
  let child: ChildProcess | undefined;
  let isClosed = false;

  function start(): void {
    if (isClosed) return;
    child = spawn(process.execPath, [...flags, PROGRAM], {
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
    callerAddress: settings.callerAddress,
    readinessAddress: settings.readinessAddress,
    signal: signal => void child?.kill(signal),
    processId: () => child?.pid,
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
