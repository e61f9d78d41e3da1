import {
  startHostStore,
  type HostStore,
} from '../../test/fleet/fixtures/host_store';
import {fork, spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {
  createWriteStream,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join, resolve} from 'node:path';
import {parse} from 'smol-toml';
import type {EngineBehaviour, EngineCommand, EngineMessage} from './engine';
import type {ModelEngineBehaviour, ModelEngineMessage} from './model_engine';
import {sleep} from './waiting';
import {CHUNK_BYTES, CHUNKS, startOrigin} from './weights';

/** Host of all routes. */
export const HOST = 'assistant.example';

/** Key of the only tenant. */
export const KEY = 'key-of-dealers';

/** Name of the model and of its first version. */
export const MODEL = 'repair-notes';
export const FIRST_VERSION = 1;

/** Services of the site. */
export const PLAIN_SERVICE = 'mower-api';
export const MODEL_SERVICE = 'beam-servers';

const HEARTBEAT_MS = 1_200;
const ENGINE_PROGRAM = resolve('dist/review-2/engine.cjs');
const MODEL_ENGINE_PROGRAM = resolve('dist/review-2/model_engine.cjs');

/** Time until the platform starts a process again, in ms. */
const RESTART_DELAY_MS = 500;

/** Zones of the site, with their regions. */
export const ZONES = {
  'bilbao-hall': 'bizkaia',
  'santander-hall': 'cantabria',
  'oviedo-hall': 'asturias',
} as const;

/** Name of a zone. */
export type Zone = keyof typeof ZONES;

/** Bounds of the small deployment. */
export const BOUNDS = {
  configuration: 2_000,
  revocation: 5_000,
  draining: 2_000,
  version: 8_000,
  grace: 8_000,
  directoryAnswer: 5_000,
  repeats: {share: 0.2, slack: 104, window: 10_000},
};

/** A route of the operator's configuration. */
export interface RouteRow {
  readonly Name: string;
  readonly Prefix: string;
  readonly Kind: 'safe' | 'unsafe' | 'stream';
  readonly Service: string;
  readonly TimeoutMs: number;
  readonly TargetLatencyMs: number;
  readonly MaxAttempts: number;
  readonly Resumable?: boolean;
  readonly GapTargetMs?: number;
}

/** Routes with the figures of the small site file. */
export const ROUTES: readonly RouteRow[] = [
  {
    Name: 'mower-status',
    Prefix: '/status/',
    Kind: 'unsafe',
    Service: PLAIN_SERVICE,
    TimeoutMs: 1_000,
    TargetLatencyMs: 150,
    MaxAttempts: 1,
  },
  {
    Name: 'dealer-stock',
    Prefix: '/stock/',
    Kind: 'safe',
    Service: PLAIN_SERVICE,
    TimeoutMs: 1_000,
    TargetLatencyMs: 150,
    MaxAttempts: 2,
  },
  {
    Name: 'fault-diagnosis',
    Prefix: '/diagnosis/',
    Kind: 'stream',
    Service: MODEL_SERVICE,
    TimeoutMs: 6_000,
    TargetLatencyMs: 400,
    MaxAttempts: 2,
    Resumable: true,
    GapTargetMs: 300,
  },
];

/** An engine in a process of its own. */
export interface EngineProcess {
  readonly instance: string;
  readonly service: string;
  readonly child: ChildProcess;
  readonly address: string;
  /** Ids of the requests that it has run. */
  readonly runs: ReadonlySet<string>;
  readonly command: (command: EngineCommand) => void;
  /**
   * Registers it as draining, and ends it some time after the store has
   * accepted that; its row is removed then.
   */
  readonly leave: (milliseconds: number) => Promise<void>;
}

/** A model engine with a staging area, in a process of its own. */
export interface ModelEngineProcess {
  readonly address: string;
  /** Its runs, with the version that it held when they reached it. */
  readonly runs: readonly ModelEngineRun[];
}

/** A request that a model engine has begun. */
export interface ModelEngineRun {
  readonly requestId: string;
  readonly version: number;
  /** When the script learned of it. */
  readonly at: number;
}

/** A process of the system that is started again when it ends. */
export interface SystemProcess {
  /** Empty for an agent. */
  readonly callerAddress: string;
  readonly readinessAddress: string;
  /** How its processes ended, in order. */
  readonly ends: readonly string[];
  /** Kills it; it starts again after a delay. */
  readonly kill: (restartDelay: number) => void;
}

/** A site of stand-ins, with entries of the built program. */
export interface Site {
  readonly store: HostStore;
  readonly log: (line: string) => void;
  readonly startEngine: (
    instance: string,
    service: string,
    behaviour: EngineBehaviour,
  ) => Promise<EngineProcess>;
  readonly startModelEngine: (
    instance: string,
    zone: Zone,
    behaviour: ModelEngineBehaviour,
  ) => Promise<ModelEngineProcess>;
  readonly startEntry: (
    instance: string,
    zone?: Zone,
  ) => Promise<SystemProcess>;
  readonly startAgent: (
    instance: string,
    zone: Zone,
    engineAddress: string,
  ) => Promise<SystemProcess>;
  /** Names a version; returns when the store has accepted it. */
  readonly nameVersion: (version: number) => number;
  /** Ends all processes of the site. */
  readonly close: () => Promise<void>;
}

/** Starts the store with a first configuration. */
export async function startSite(record: string): Promise<Site> {
  const store = await startHostStore();
  const children = new Set<ChildProcess>();
  const timers = new Set<NodeJS.Timeout>();
  const out = createWriteStream(record);
  const startedAt = performance.now();
  const temporary = mkdtempSync(join(tmpdir(), 'review-'));
  let isClosing = false;
  let newestVersion = FIRST_VERSION;
  const origin = await startOrigin(() => newestVersion);

  function log(line: string): void {
    const seconds = (performance.now() - startedAt) / 1_000;
    out.write(`${seconds.toFixed(3).padStart(8)} ${line}\n`);
  }

  store.write('op', 'config', {
    Version: 1,
    Routes: ROUTES.map(route => ({Host: HOST, ...route})),
    Services: [
      {Name: PLAIN_SERVICE, HealthPath: '/health'},
      {
        Name: MODEL_SERVICE,
        HealthPath: '/health',
        Engine: {
          Slots: 16,
          Models: [{Name: MODEL, WarmS: 0.3}],
          step_ms: 6.73,
          layers: 16,
          Chunks: CHUNKS,
          ChunkBytes: CHUNK_BYTES,
        },
      },
      {Name: 'billing-api', Origin: origin.address, LinkMbps: 15},
    ],
    Limits: {
      HeaderBytes: 16_384,
      BodyBytes: 4_194_304,
      HeaderTimeoutMs: 3_000,
      IdleTimeoutMs: 15_000,
    },
    Tenants: [{Name: 'dealers', ApiKeys: [KEY], Priority: 1}],
  });

  async function startEngine(
    instance: string,
    service: string,
    behaviour: EngineBehaviour,
  ): Promise<EngineProcess> {
    const child = fork(ENGINE_PROGRAM, [instance, JSON.stringify(behaviour)]);
    children.add(child);
    child.once('exit', () => children.delete(child));
    const runs = new Set<string>();
    const [{address}] = (await once(child, 'message')) as [
      Extract<EngineMessage, {kind: 'listens'}>,
    ];
    child.on('message', (message: EngineMessage) => {
      if (message.kind === 'listens') return;
      const {requestId} = message;
      if (message.kind === 'run') {
        runs.add(requestId);
        log(`run ${requestId} at ${instance}`);
      } else log(`answer to ${requestId} at ${instance}: ${message.how}`);
    });
    let state: 'ready' | 'draining' = 'ready';
    let sequence = 0;
    const register = (): void => {
      if (isClosing) return;
      sequence += 1;
      const isModel = service === MODEL_SERVICE;
      store.write('servers', instance, {
        Service: service,
        Address: address,
        Zone: 'bilbao-hall',
        Version: 'v1',
        Slots: isModel ? 16 : 6,
        State: state,
        ColdRemainingMs: 0,
        Sequence: sequence,
        ...(isModel && {
          Models: [{Name: MODEL, Version: FIRST_VERSION, Adapters: []}],
        }),
      });
    };
    register();
    const timer = setInterval(register, HEARTBEAT_MS);
    timers.add(timer);
    return {
      instance,
      service,
      child,
      address,
      runs,
      command: command => void child.send(command),
      leave: async milliseconds => {
        state = 'draining';
        register();
        log(`${instance} is draining`);
        await sleep(milliseconds);
        clearInterval(timer);
        const ended = once(child, 'exit');
        child.send({kind: 'exit'} satisfies EngineCommand);
        await ended;
        log(`${instance} has exited`);
        store.remove('servers', instance);
      },
    };
  }

  async function startModelEngine(
    instance: string,
    zone: Zone,
    behaviour: ModelEngineBehaviour,
  ): Promise<ModelEngineProcess> {
    const child = fork(MODEL_ENGINE_PROGRAM, [
      instance,
      JSON.stringify(behaviour),
    ]);
    children.add(child);
    child.once('exit', () => children.delete(child));
    const runs: ModelEngineRun[] = [];
    const [{address}] = (await once(child, 'message')) as [
      Extract<ModelEngineMessage, {kind: 'listens'}>,
    ];
    let held = behaviour.version;
    let sequence = 0;
    const register = (): void => {
      if (isClosing) return;
      sequence += 1;
      store.write('servers', instance, {
        Service: MODEL_SERVICE,
        Address: address,
        Zone: zone,
        Version: 'v1',
        Slots: behaviour.slots,
        State: 'ready',
        ColdRemainingMs: 0,
        Sequence: sequence,
        Stage: 'both',
        Models: [{Name: MODEL, Version: held, Adapters: []}],
      });
    };
    child.on('message', (message: ModelEngineMessage) => {
      if (message.kind === 'run') {
        const {requestId, version} = message;
        runs.push({requestId, version, at: performance.now()});
        log(`run ${requestId} at ${instance} on version ${version}`);
      } else if (message.kind === 'holds') {
        held = message.version;
        log(`${instance} holds ${held}, whole: ${message.isWhole}`);
        register();
      }
    });
    register();
    timers.add(setInterval(register, HEARTBEAT_MS));
    return {address, runs};
  }

  /** Starts a role with the command of the deploy file. */
  function startRole(
    role: 'entry' | 'agent',
    settings: {readonly instance: string},
    addresses: Pick<SystemProcess, 'callerAddress' | 'readinessAddress'>,
  ): SystemProcess {
    const {instance} = settings;
    const file = join(temporary, `${instance}.yaml`);
    writeFileSync(file, JSON.stringify({role, ...settings}));
    const [program = 'node', ...words] = commandOf(role);
    const ends: string[] = [];
    let child: ChildProcess | undefined;
    let restartDelay = RESTART_DELAY_MS;
    const start = (): void => {
      if (isClosing) return;
      log(`${instance} starts`);
      const started = spawn(program, words, {
        env: {PATH: process.env.PATH, HIBISCUSBEAM_CONFIG: file},
        stdio: ['ignore', 'ignore', 'pipe'],
      });
      child = started;
      children.add(started);
      started.stderr?.on('data', (text: Buffer) =>
        log(`${instance} stderr: ${text.toString().trim().slice(0, 300)}`),
      );
      started.once('exit', (code, signal) => {
        children.delete(started);
        if (isClosing) return;
        ends.push(`exit ${code ?? ''} ${signal ?? ''}`);
        log(`${instance} ended: code ${code}, signal ${signal}`);
        setTimeout(start, restartDelay);
        restartDelay = RESTART_DELAY_MS;
      });
    };
    start();
    return {
      ...addresses,
      ends,
      kill: delay => {
        restartDelay = delay;
        child?.kill('SIGKILL');
      },
    };
  }

  async function startEntry(
    instance: string,
    zone: Zone = 'bilbao-hall',
  ): Promise<SystemProcess> {
    const callerAddress = await freeAddress();
    const readinessAddress = await freeAddress();
    const settings = {
      instance,
      zone,
      region: ZONES[zone],
      regions: ZONES,
      peerAddress: await freeAddress(),
      callerAddress,
      readinessAddress,
      directoryAddress: await freeAddress(),
      admission: {levelWhen: 'pressure', among: ['base', 'stream']},
      store: {address: store.address, heartbeat: HEARTBEAT_MS},
      memoryMegabytes: 350,
      maxDescriptors: 4_100,
      bounds: BOUNDS,
    };
    return startRole('entry', settings, {callerAddress, readinessAddress});
  }

  async function startAgent(
    instance: string,
    zone: Zone,
    engineAddress: string,
  ): Promise<SystemProcess> {
    const settings = {
      instance,
      zone,
      region: ZONES[zone],
      peerAddress: await freeAddress(),
      engine: {address: engineAddress, service: MODEL_SERVICE},
      linkMegabits: 6.58,
      maxDescriptors: 1_494,
      store: {address: store.address, heartbeat: HEARTBEAT_MS},
      bounds: BOUNDS,
    };
    return startRole('agent', settings, {
      callerAddress: '',
      readinessAddress: '',
    });
  }

  function nameVersion(version: number): number {
    newestVersion = version;
    store.write('op', `version/${MODEL}`, {Model: MODEL, Version: version});
    log(`version ${version} is named`);
    return performance.now();
  }

  return {
    store,
    log,
    startEngine,
    startModelEngine,
    startEntry,
    startAgent,
    nameVersion,
    close: async () => {
      isClosing = true;
      for (const timer of timers) clearInterval(timer);
      await Promise.all(
        [...children].map(async child => {
          const ended = once(child, 'exit');
          child.kill('SIGKILL');
          await ended;
        }),
      );
      origin.close();
      await store.close();
      rmSync(temporary, {recursive: true, force: true});
      await new Promise(end => out.end(end));
    },
  };
}

/** The words of a role's command in the deploy file. */
function commandOf(role: string): readonly string[] {
  const file = parse(readFileSync('deploy/system.toml', 'utf8')) as {
    readonly roles: Readonly<Record<string, {readonly run: string}>>;
  };
  return file.roles[role]?.run.split(' ') ?? [];
}

/** Below the ports that the system uses for outgoing connections. */
const FIRST_PORT = 12_000;
const PORTS = 20_000;

/** Returns a free loopback address. */
async function freeAddress(): Promise<string> {
  for (;;) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORTS);
    if (await isFree(port)) return `127.0.0.1:${port}`;
  }
}

function isFree(port: number): Promise<boolean> {
  const server = createServer();
  return new Promise(done => {
    server.once('error', () => done(false));
    server.listen(port, '127.0.0.1', () => server.close(() => done(true)));
  });
}

/** Waits until the entry reports that it is ready; false after 20 s. */
export async function untilReady(entry: SystemProcess): Promise<boolean> {
  for (let tries = 0; tries < 200; tries += 1) {
    try {
      const reply = await fetch(`http://${entry.readinessAddress}/ready`);
      await reply.arrayBuffer();
      if (reply.status === 200) return true;
    } catch {
      // It does not listen yet.
    }
    await sleep(100);
  }
  return false;
}
