import type {FleetEntrySettings} from '@hibiscusbeam/fleet';
import {spawn, type ChildProcess} from 'node:child_process';
import {createWriteStream, mkdirSync, writeFileSync} from 'node:fs';
import {join, resolve} from 'node:path';

/** Built by `scripts/programs.mjs`, as `npm test` does. */
const PROGRAM = resolve('dist/fleet_entry.cjs');

/** A real entry as a process of its own, started again whenever it ends. */
export interface EntryProcess {
  readonly callerAddress: string;
  readonly readinessAddress: string;
  /** Sends a signal to the life that runs now, if any. */
  readonly signal: (signal: NodeJS.Signals) => void;
  /** Ends it for good. */
  readonly close: () => Promise<void>;
}

/** What an entry is started with. */
export interface EntryProcessOptions {
  readonly settings: FleetEntrySettings;
  /** Folder of its settings and its log. */
  readonly folder: string;
  /** Pause before it is started again, in milliseconds. */
  readonly pause: number;
}

/** Starts an entry. */
export function startEntryProcess(options: EntryProcessOptions): EntryProcess {
  const {settings, folder, pause} = options;
  mkdirSync(folder, {recursive: true});
  const file = join(folder, `${settings.instance}.yaml`);
  writeFileSync(file, JSON.stringify(settings));
  const log = createWriteStream(join(folder, `${settings.instance}.log`));
  let child: ChildProcess | undefined;
  let isClosed = false;

  function start(): void {
    if (isClosed) return;
    child = spawn(process.execPath, [PROGRAM], {
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
