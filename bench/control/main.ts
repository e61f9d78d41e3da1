import {spawn, type ChildProcess} from 'node:child_process';
import {mkdirSync, readFileSync, writeFileSync} from 'node:fs';
import {join, resolve} from 'node:path';
import {parseArgs} from 'node:util';
import {freePorts} from '../../demo/site/processes';
import {
  startHostEngine,
  startHostOrigin,
  type HostEngine,
} from '../../test/fleet/fixtures/host_engine';
import {isReady, send} from '../../test/fleet/fixtures/host_caller';
import {eventually} from '../../test/fleet/fixtures/host_site';
import {startHostStore} from '../../test/fleet/fixtures/host_store';
import {readUsage} from '../shared/process_usage';
import {
  configurationWith,
  registrationOf,
} from '../../test/fleet/fixtures/control_site';

const {values} = parseArgs({
  options: {
    seconds: {type: 'string', default: '15'},
    zones: {type: 'string', default: '2'},
    inZone: {type: 'string', default: '4'},
    callers: {type: 'string', default: '3'},
    /** Folder for CPU profiles and timer counts; none are written if omitted. */
    profiles: {type: 'string'},
  },
});

const WARM_UP_SECONDS = 6;
const SETTINGS_FOLDER = resolve('dist/bench_control');
const EVENTS_PER_STREAM = 21;

interface Member {
  readonly role: 'entry' | 'agent';
  readonly instance: string;
  readonly child: ChildProcess;
  readonly callerAddress: string;
}

const BOUNDS = {
  configuration: 3_000,
  revocation: 5_000,
  draining: 2_000,
  version: 8_000,
  grace: 2_000,
  directoryAnswer: 5_000,
  repeats: {share: 0.2, slack: 104, window: 10_000},
};

function pause(seconds: number): Promise<void> {
  return new Promise(done => setTimeout(done, seconds * 1_000));
}

/** Voluntary context switches of a process since its start. */
function readWakeUps(processId: number): number {
  const status = readFileSync(`/proc/${processId}/status`, 'utf8');
  return Number(/^voluntary_ctxt_switches:\s+(\d+)/m.exec(status)?.[1] ?? 0);
}

async function freeAddresses(count: number): Promise<readonly string[]> {
  return (await freePorts(count)).map(port => `127.0.0.1:${port}`);
}

function startProcess(
  role: 'entry' | 'agent',
  instance: string,
  settings: object,
): ChildProcess {
  const file = join(SETTINGS_FOLDER, `${instance}.yaml`);
  writeFileSync(file, JSON.stringify({role, instance, ...settings}));
  const folder = values.profiles;
  const flags =
    folder === undefined
      ? []
      : [
          '--cpu-prof',
          `--cpu-prof-dir=${folder}/${role}`,
          `--cpu-prof-name=${instance}.cpuprofile`,
          '--require',
          resolve('bench/control/timer_counts.cjs'),
        ];
  return spawn(process.execPath, [...flags, `dist/fleet_${role}.cjs`], {
    env: {
      ...process.env,
      HIBISCUSBEAM_CONFIG: file,
      ...(folder && {TIMER_COUNTS: `${folder}/${instance}.timers.json`}),
    },
    stdio: ['ignore', 'ignore', 'inherit'],
  });
}

async function startMembers(
  storeAddress: string,
  engines: readonly HostEngine[],
): Promise<readonly Member[]> {
  mkdirSync(SETTINGS_FOLDER, {recursive: true});
  const zones = Array.from({length: Number(values.zones)}, (_, at) => `z${at}`);
  const members: Member[] = [];
  let engine = 0;
  for (const zone of zones) {
    for (let index = 0; index < Number(values.inZone); index += 1) {
      const [peer, caller, readiness, directory, agentPeer] =
        await freeAddresses(5);
      const common = {
        zone,
        region: zone,
        store: {address: storeAddress, heartbeat: 1_200},
        bounds: BOUNDS,
      };
      const entry = `entry-${zone}-${index}`;
      members.push({
        role: 'entry',
        instance: entry,
        callerAddress: caller ?? '',
        child: startProcess('entry', entry, {
          ...common,
          peerAddress: peer,
          callerAddress: caller,
          readinessAddress: readiness,
          directoryAddress: directory,
        }),
      });
      const agent = `agent-${zone}-${index}`;
      members.push({
        role: 'agent',
        instance: agent,
        callerAddress: '',
        child: startProcess('agent', agent, {
          ...common,
          peerAddress: agentPeer,
          engine: {address: engines[engine]?.address, service: 'engines'},
        }),
      });
      engine += 1;
      await eventually(() => isReady(readiness ?? '').catch(() => false));
    }
  }
  return members;
}

interface ProcessUse {
  readonly cpu: number;
  readonly wakes: number;
}

function readUses(members: readonly Member[]): readonly ProcessUse[] {
  return members.map(({child}) => ({
    cpu: readUsage(child.pid ?? 0).cpuSeconds,
    wakes: readWakeUps(child.pid ?? 0),
  }));
}

function sum(counts: ReadonlyMap<string, number>): number {
  return [...counts.values()].reduce((one, other) => one + other, 0);
}

async function main(): Promise<void> {
  const store = await startHostStore();
  const origin = await startHostOrigin(1, () => 1);
  const configuration = configurationWith(origin.address, origin.chunkSize);
  store.write('op', 'config', configuration);
  const count = Number(values.zones) * Number(values.inZone);
  const engines = await Promise.all(
    Array.from({length: count}, (_, index) =>
      startHostEngine({
        instance: `engine-${index}`,
        version: 1,
        events: EVENTS_PER_STREAM,
        pause: 15,
      }),
    ),
  );
  engines.forEach((engine, index) =>
    store.write(
      'servers',
      engine.instance,
      registrationOf(engine, `z${Math.floor(index / Number(values.inZone))}`),
    ),
  );
  const members = await startMembers(store.address, engines);
  await pause(WARM_UP_SECONDS);

  async function measurePhase(name: string): Promise<void> {
    const callsBefore = sum(store.calls);
    const before = readUses(members);
    const startedAt = performance.now();
    await pause(Number(values.seconds));
    const seconds = (performance.now() - startedAt) / 1_000;
    const after = readUses(members);
    for (const role of ['agent', 'entry'] as const) {
      const rows = members.flatMap((member, at) => {
        const [one, other] = [before[at], after[at]];
        if (member.role !== role || !one || !other) return [];
        return {
          instance: member.instance,
          cpu: ((other.cpu - one.cpu) / seconds) * 100,
          wakes: (other.wakes - one.wakes) / seconds,
        };
      });
      const mean = (read: (row: (typeof rows)[number]) => number): string =>
        (rows.reduce((all, row) => all + read(row), 0) / rows.length).toFixed(
          2,
        );
      const max = Math.max(...rows.map(({cpu}) => cpu)).toFixed(2);
      console.log(
        `${name} ${role}: ${mean(({cpu}) => cpu)}% of a core (max ${max}%), ${mean(({wakes}) => wakes)} wake-ups per second`,
      );
    }
    const calls = sum(store.calls) - callsBefore;
    console.log(
      `${name} store: ${(calls / seconds).toFixed(2)} calls per second`,
    );
  }

  await measurePhase('idle');
  let isBusy = true;
  let answered = 0;
  let notAnswered = 0;
  const entries = members.filter(({role}) => role === 'entry');
  const callers = entries.flatMap(({callerAddress}, entry) =>
    Array.from({length: Number(values.callers)}, async (_, caller) => {
      for (let index = 0; isBusy; index += 1) {
        const id = `${entry}-${caller}-${index}`;
        const reply = await send(callerAddress, '/stream/a', {
          'x-hibiscusbeam-request-id': id,
          'x-hibiscusbeam-deadline-ms': '6000',
          'x-hibiscusbeam-model': 'model',
        }).catch(() => undefined);
        if (reply?.status === 200) answered += 1;
        else {
          notAnswered += 1;
          await pause(0.1);
        }
      }
    }),
  );
  await pause(2);
  answered = 0;
  notAnswered = 0;
  await measurePhase('busy');
  console.log(`busy: ${answered} answered, ${notAnswered} not`);
  isBusy = false;
  await Promise.all(callers);
  for (const {child} of members) child.kill('SIGTERM');
  await Promise.all(
    members.map(({child}) => new Promise(done => child.once('exit', done))),
  );
}

main().then(
  () => process.exit(0),
  error => {
    console.error(error);
    process.exit(1);
  },
);
