import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {exchangeJson} from './http';
import {freePorts, startProcess, type SiteProcess} from './processes';
import {
  createSettingsWriter,
  type AgentSpec,
  type EntrySpec,
  type SettingsWriter,
  type SiteSettings,
} from './settings_files';

const HOST = '127.0.0.1';

const ZONES = [
  {zone: 'bilbao-hall', region: 'east'},
  {zone: 'santander-hall', region: 'east'},
  {zone: 'oviedo-hall', region: 'west'},
] as const;

/** What the stand-in of the older system serves, and for whom. */
export interface OlderSystemOptions {
  readonly model: string;
  readonly label: string;
  readonly workspaces: readonly string[];
  /** Interval between its rounds of orders and requests, in milliseconds. */
  readonly period: number;
}

/** Size of the site and the programs to start it from. */
export interface SmallSiteOptions extends SiteSettings {
  readonly entries: number;
  readonly engines: number;
  readonly plainServices: number;
  /** Runs entries and agents from the single executable. */
  readonly binary: boolean;
  /** Starts an older system too, which owns all targets and its workspaces. */
  readonly olderSystem?: OlderSystemOptions;
  /** Whether engines refuse an order with an old fencing number. */
  readonly fencing?: 'checked' | 'ignored';
  /** Additional command line options of each engine stand-in. */
  readonly engineOptions?: readonly string[];
}

/** A running target and its agent. */
export interface RunningTarget {
  readonly name: string;
  readonly url: string;
  readonly standin: SiteProcess;
  readonly agent: SiteProcess;
  readonly spec: AgentSpec;
}

/** An entry of the running site. */
export interface RunningEntry {
  readonly name: string;
  readonly url: string;
  readonly process: SiteProcess;
  readonly spec: EntrySpec;
}

/** A small site of separate processes on loopback. */
export interface SmallSite {
  readonly platformUrl: string;
  readonly platform: SiteProcess;
  readonly entries: readonly RunningEntry[];
  readonly engines: readonly RunningTarget[];
  readonly plainServices: readonly RunningTarget[];
  readonly settings: SettingsWriter;
  /** URL of the older system, if it was started. */
  readonly olderSystemUrl: string | undefined;
  /** Starts a new agent for a target and waits until it is ready. */
  readonly restartAgent: (target: RunningTarget) => Promise<SiteProcess>;
  /** Restarts a killed process without waiting until it is ready. */
  readonly respawn: (killed: RunningTarget | RunningEntry) => SiteProcess;
  /** Starts another entry and lists it at the platform. */
  readonly addEntry: (name: string) => Promise<RunningEntry>;
  readonly delist: (instance: string) => Promise<void>;
  readonly stop: () => Promise<void>;
}

/** Starts platform, targets, agents and entries, and lists the instances. */
export async function startSmallSite(
  options: SmallSiteOptions,
): Promise<SmallSite> {
  const folder = mkdtempSync(join(tmpdir(), 'hibiscusbeam-site-'));
  const running: SiteProcess[] = [];
  const start = (
    ...startOptions: Parameters<typeof startProcess>
  ): SiteProcess => {
    const started = startProcess(...startOptions);
    running.push(started);
    return started;
  };

  const standin = async (
    kind: string,
    name: string,
    extra: readonly string[] = [],
    address = `${HOST}:0`,
  ): Promise<{process: SiteProcess; url: string}> => {
    const process = start({
      name,
      program: 'standins',
      programArguments: [kind, '--listen', address, '--name', name, ...extra],
    });
    const ready = JSON.parse(await process.ready) as {listening: string};
    return {process, url: `http://${ready.listening}`};
  };

  const platform = await standin('platform', 'platform');
  const olderSystemAddress =
    options.olderSystem === undefined
      ? undefined
      : `${HOST}:${(await freePorts(1))[0]}`;
  const olderSystemUrl =
    olderSystemAddress === undefined
      ? undefined
      : `http://${olderSystemAddress}`;
  const settings = createSettingsWriter(folder, platform.url, {
    ...options,
    olderSystemUrl,
  });

  const list = (spec: EntrySpec | AgentSpec): Promise<unknown> => {
    const isEntry = 'callerAddress' in spec;
    const {instance, zone, region} = spec;
    return exchangeJson('PUT', `${platform.url}/instances/${instance}`, {
      instance,
      role: isEntry ? 'entry' : 'agent',
      address: spec.siteAddress,
      ...(isEntry ? {callerAddress: spec.callerAddress} : {}),
      zone,
      region,
      state: 'live',
    });
  };

  const runAgent = (spec: AgentSpec): SiteProcess =>
    start({
      name: spec.instance,
      program: 'hibiscusbeam',
      programArguments: ['agent', '--settings', settings.agent(spec)],
      binary: options.binary,
    });

  const runEntry = (spec: EntrySpec): SiteProcess =>
    start({
      name: spec.instance,
      program: 'hibiscusbeam',
      programArguments: ['entry', '--settings', settings.entry(spec)],
      binary: options.binary,
    });

  const addTarget = async (
    name: string,
    index: number,
    kind: 'modelEngine' | 'plainService',
  ): Promise<RunningTarget> => {
    const fencing = options.fencing ?? 'checked';
    const target =
      kind === 'modelEngine'
        ? await standin('engine', name, [
            '--fencing',
            fencing,
            ...(options.engineOptions ?? []),
          ])
        : await standin('plain-service', name);
    const [port] = await freePorts(1);
    const spec: AgentSpec = {
      // The agent runs on the instance of its target and shares its name.
      instance: name,
      ...zoneAt(index),
      siteAddress: `${HOST}:${port}`,
      target: {
        name,
        kind,
        ...(kind === 'plainService' ? {service: 'invoicing'} : {}),
        url: target.url,
        fencing,
      },
    };
    const agent = runAgent(spec);
    await Promise.all([agent.ready, list(spec)]);
    return {name, url: target.url, standin: target.process, agent, spec};
  };

  const addEntry = async (
    name: string,
    index: number,
  ): Promise<RunningEntry> => {
    const [sitePort, callerPort] = await freePorts(2);
    const spec: EntrySpec = {
      instance: name,
      ...zoneAt(index),
      siteAddress: `${HOST}:${sitePort}`,
      callerAddress: `${HOST}:${callerPort}`,
    };
    await list(spec);
    const process = runEntry(spec);
    await process.ready;
    return {name, url: `http://${spec.callerAddress}`, process, spec};
  };

  const stop = async (): Promise<void> => {
    for (const process of running) process.signal('SIGCONT');
    for (const process of running) process.signal('SIGKILL');
    await Promise.all(running.map(process => process.exited));
    rmSync(folder, {recursive: true, force: true});
  };

  try {
    const entries = await Promise.all(
      numbersUpTo(options.entries).map(number =>
        addEntry(`entry-${number}`, number - 1),
      ),
    );
    const engines = await Promise.all(
      numbersUpTo(options.engines).map(number =>
        addTarget(`engine-${number}`, number - 1, 'modelEngine'),
      ),
    );
    const plainServices = await Promise.all(
      numbersUpTo(options.plainServices).map(number =>
        addTarget(`invoicing-${number}`, number - 1, 'plainService'),
      ),
    );
    if (options.olderSystem !== undefined) {
      const {model, label, workspaces, period} = options.olderSystem;
      const targetOptions = (
        targets: readonly RunningTarget[],
        option: string,
      ) =>
        targets.flatMap(({name, url}) => [
          option,
          `${name}=${url.replace('http://', '')}`,
        ]);
      await standin(
        'older-system',
        'older-system',
        [
          ...['--platform', platform.url.replace('http://', '')],
          ...['--model', model, '--label', label, '--period', `${period}`],
          ...targetOptions(engines, '--engines'),
          ...targetOptions(plainServices, '--services'),
          ...['--reorder', '--workspaces', ...workspaces],
        ],
        olderSystemAddress,
      );
    }
    let added = options.entries;
    return {
      platformUrl: platform.url,
      platform: platform.process,
      entries,
      engines,
      plainServices,
      settings,
      olderSystemUrl,
      restartAgent: async target => {
        const agent = runAgent(target.spec);
        await agent.ready;
        return agent;
      },
      respawn: killed =>
        'agent' in killed ? runAgent(killed.spec) : runEntry(killed.spec),
      addEntry: name => addEntry(name, added++),
      delist: async instance => {
        await exchangeJson('DELETE', `${platform.url}/instances/${instance}`);
      },
      stop,
    };
  } catch (error) {
    await stop();
    throw error;
  }
}

function zoneAt(index: number): {
  readonly zone: string;
  readonly region: string;
} {
  const zone = ZONES[index % ZONES.length];
  if (zone === undefined) throw new Error('no zone is configured');
  return zone;
}

function numbersUpTo(count: number): readonly number[] {
  return Array.from({length: count}, (_, index) => index + 1);
}
