import {spawn, type ChildProcess} from 'node:child_process';
import {createWriteStream, mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {request} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {freeAddress} from './ports';

/** The commands of the deploy file. */
const ENTRY_COMMAND = [
  '--max-old-space-size=192',
  '--max-semi-space-size=1',
  'target/hibiscusbeam.cjs',
  'entry',
];
const AGENT_COMMAND = [
  '--max-old-space-size=128',
  '--max-semi-space-size=1',
  'target/hibiscusbeam.cjs',
  'agent',
];

const READY_TIMEOUT_MS = 20_000;

const EXIT_NOT_RUN = 2;

for (const signal of ['SIGTERM', 'SIGINT'] as const) {
  process.once(signal, () => process.exit(EXIT_NOT_RUN));
}

/** The bounds of the small deployments. */
export const BOUNDS = {
  configuration: 2_000,
  revocation: 5_000,
  draining: 2_000,
  version: 8_000,
  grace: 8_000,
  directoryAnswer: 5_000,
  repeats: {share: 0.2, slack: 104, window: 10_000},
};

/** Creates a folder that is removed when the script ends. */
export function temporaryFolder(): string {
  const folder = mkdtempSync(join(tmpdir(), 'review-'));
  process.once('exit', () => rmSync(folder, {recursive: true, force: true}));
  return folder;
}

/** An entry that runs as a process of its own. */
export interface EntryProcess {
  readonly name: string;
  readonly callerAddress: string;
  readonly directoryAddress: string;
  readonly readinessAddress: string;
  readonly child: ChildProcess;
  /** Kills the process if it still runs. */
  readonly close: () => void;
}

/** Starts an entry with the fields of the deployed settings template. */
export async function startEntry(
  name: string,
  storeAddress: string,
  folder: string,
): Promise<EntryProcess> {
  const callerAddress = await freeAddress();
  const readinessAddress = await freeAddress();
  const directoryAddress = await freeAddress();
  const settings = {
    role: 'entry',
    instance: name,
    zone: 'north',
    region: 'north',
    regions: {north: 'north'},
    peerAddress: await freeAddress(),
    metricsAddress: await freeAddress(),
    callerAddress,
    readinessAddress,
    directoryAddress,
    admission: {
      levelWhen: 'pressure',
      among: ['base', 'drain', 'config', 'cost', 'retry', 'engine', 'stream'],
    },
    store: {address: storeAddress, heartbeat: 1_200},
    memoryMegabytes: 350,
    bounds: BOUNDS,
  };
  const child = startProcess(name, ENTRY_COMMAND, settings, folder);
  return {
    name,
    callerAddress,
    directoryAddress,
    readinessAddress,
    child,
    close: () => void child.kill('SIGKILL'),
  };
}

/** Starts the agent of an engine with the fields of the deployed template. */
export async function startAgent(
  name: string,
  storeAddress: string,
  engineAddress: string,
  folder: string,
): Promise<ChildProcess> {
  const settings = {
    role: 'agent',
    instance: name,
    zone: 'north',
    region: 'north',
    peerAddress: await freeAddress(),
    metricsAddress: await freeAddress(),
    engine: {address: engineAddress, service: 'engines'},
    linkMegabits: 6.58,
    store: {address: storeAddress, heartbeat: 1_200},
    bounds: BOUNDS,
  };
  return startProcess(name, AGENT_COMMAND, settings, folder);
}

function startProcess(
  name: string,
  command: readonly string[],
  settings: object,
  folder: string,
): ChildProcess {
  const file = join(folder, `${name}.yaml`);
  writeFileSync(file, JSON.stringify(settings));
  const child = spawn(process.execPath, command, {
    env: {...process.env, HIBISCUSBEAM_CONFIG: file},
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  // Also after an error, or when the time of the script is over.
  process.once('exit', () => child.kill('SIGKILL'));
  const log = createWriteStream(join(folder, `${name}.log`));
  child.stdout.pipe(log, {end: false});
  child.stderr.pipe(log, {end: false});
  return child;
}

/** Waits until all entries answer that they are ready. */
export async function untilReady(
  entries: readonly EntryProcess[],
): Promise<boolean> {
  const end = performance.now() + READY_TIMEOUT_MS;
  while (performance.now() < end) {
    const states = await Promise.all(
      entries.map(entry => isReady(entry.readinessAddress)),
    );
    if (states.every(state => state)) return true;
    await sleep(100);
  }
  return false;
}

function isReady(address: string): Promise<boolean> {
  return new Promise(resolve => {
    const asked = request(`http://${address}/ready`, {agent: false}, reply => {
      reply.resume();
      resolve(reply.statusCode === 200);
    });
    asked.on('error', () => resolve(false));
    asked.end();
  });
}
