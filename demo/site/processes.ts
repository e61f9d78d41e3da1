import {spawn, type ChildProcess} from 'node:child_process';
import {createServer} from 'node:net';
import {createInterface} from 'node:readline';

/** The programs of a site, as bundled by scripts/programs.mjs. */
export type Program = 'hibiscusbeam' | 'standins';

const BUNDLES: Readonly<Record<Program, string>> = {
  hibiscusbeam: 'dist/hibiscusbeam.cjs',
  standins: 'dist/standins.cjs',
};

const BINARY = 'dist/hibiscusbeam';

/** Log lines of a process that are kept for failure reports. */
const MAX_LOG_LINES = 200;

/** A child process of the site. */
export interface SiteProcess {
  readonly name: string;
  readonly processId: number;
  /** The first line on standard output, written once the process is ready. */
  readonly ready: Promise<string>;
  readonly exited: Promise<number | null>;
  readonly signal: (signal: NodeJS.Signals) => void;
  readonly log: () => readonly string[];
}

/** How to start a process. */
export interface StartOptions {
  readonly name: string;
  readonly program: Program;
  readonly programArguments: readonly string[];
  /** Runs the single executable instead of the bundle. */
  readonly binary?: boolean;
}

/** Starts a process and collects its standard error as its log. */
export function startProcess(options: StartOptions): SiteProcess {
  const {command, leading} = commandOf(options);
  const child = spawn(command, [...leading, ...options.programArguments], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  const lines: string[] = [];
  collectLines(child.stderr, line => {
    lines.push(line);
    if (lines.length > MAX_LOG_LINES) lines.shift();
  });
  const exited = waitForExit(child);
  const ready = new Promise<string>((resolve, reject) => {
    collectLines(child.stdout, resolve);
    void exited.then(code =>
      reject(
        new Error(
          `${options.name} ended with ${code} before it was ready:\n${lines.slice(-20).join('\n')}`,
        ),
      ),
    );
  });
  // Prevents an unhandled rejection if nobody awaits `ready`.
  ready.catch(() => undefined);
  return {
    name: options.name,
    processId: child.pid ?? 0,
    ready,
    exited,
    signal: signal => void child.kill(signal),
    log: () => lines,
  };
}

function commandOf(options: StartOptions) {
  if (options.program === 'hibiscusbeam' && options.binary === true) {
    return {command: BINARY, leading: []};
  }
  return {
    command: process.execPath,
    leading: [BUNDLES[options.program]],
  };
}

function collectLines(
  stream: NodeJS.ReadableStream | null,
  onLine: (line: string) => void,
): void {
  if (stream === null) return;
  createInterface({input: stream}).on('line', onLine);
}

function waitForExit(child: ChildProcess): Promise<number | null> {
  return new Promise(resolve => {
    child.once('exit', code => resolve(code));
    child.once('error', () => resolve(null));
  });
}

/**
 * Below the ephemeral port range: the kernel may give a port of that range to
 * an outgoing connection of another process between the check for a free port
 * and the start of the process that listens on it.
 */
const FIRST_PORT = 20_000;
const PORT_COUNT = 12_000;

let nextOffset = (process.pid * 97) % PORT_COUNT;

/** Finds `count` free TCP ports on the loopback address. */
export async function freePorts(count: number): Promise<readonly number[]> {
  const ports: number[] = [];
  for (let tries = 0; tries < PORT_COUNT && ports.length < count; tries++) {
    const port = FIRST_PORT + nextOffset;
    nextOffset = (nextOffset + 1) % PORT_COUNT;
    if (await isFree(port)) ports.push(port);
  }
  if (ports.length < count) throw new Error('no free ports on loopback');
  return ports;
}

function isFree(port: number): Promise<boolean> {
  const server = createServer();
  return new Promise(resolve => {
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}
