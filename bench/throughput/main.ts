import {parseArgs} from 'node:util';
import {spawn} from 'node:child_process';
import {
  confirmByCommand,
  DEMO_MODEL,
  initialIntent,
  planByCommand,
  publishVersion,
  waitUntilServed,
} from '../../demo/rollout';
import {freePorts} from '../../demo/site/processes';
import {DEMO_KEYS} from '../../demo/site/settings_files';
import {startSmallSite, type SmallSite} from '../../demo/site/small_site';
import {quantile, sendLoad, type LoadResult} from '../shared/load';
import {readUsage, type ProcessUsage} from '../shared/process_usage';

const {values} = parseArgs({
  options: {
    json: {type: 'boolean', default: false},
    requests: {type: 'string', default: '4000'},
    concurrency: {type: 'string', default: '64'},
    tokens: {type: 'string', default: '64'},
  },
});

/** Unmeasured requests at the start, so that the code is compiled. */
const WARM_UP_REQUESTS = 500;

const ENGINE_OPTIONS = [
  '--slots=512',
  '--queue-limit=1024',
  '--token-time=1',
  '--first-token-time=1',
];

interface Measured {
  readonly load: LoadResult;
  readonly entry: ProcessUsage;
  readonly entryBefore: ProcessUsage;
  readonly agent: ProcessUsage;
  readonly agentBefore: ProcessUsage;
}

async function measure(
  url: string,
  entryId: number,
  agentId: number,
): Promise<Measured> {
  const loadOptions = {
    url,
    model: DEMO_MODEL,
    concurrency: Number(values.concurrency),
    tokens: Number(values.tokens),
  };
  await sendLoad({...loadOptions, requests: WARM_UP_REQUESTS});
  const entryBefore = readUsage(entryId);
  const agentBefore = readUsage(agentId);
  const load = await sendLoad({
    ...loadOptions,
    requests: Number(values.requests),
  });
  return {
    load,
    entryBefore,
    agentBefore,
    entry: readUsage(entryId),
    agent: readUsage(agentId),
  };
}

function describe(measured: Measured) {
  const {load, entry, entryBefore, agent, agentBefore} = measured;
  const entryCpu = entry.cpuSeconds - entryBefore.cpuSeconds;
  const agentCpu = agent.cpuSeconds - agentBefore.cpuSeconds;
  return {
    answered: load.answered,
    notAnswered: load.others,
    seconds: load.seconds,
    requestsPerSecond: load.answered / load.seconds,
    tokensPerSecond: load.tokens / load.seconds,
    firstTokenP50Milliseconds: quantile(load.firstTokens, 0.5),
    firstTokenP99Milliseconds: quantile(load.firstTokens, 0.99),
    entryCpuMicrosecondsPerRequest: (entryCpu * 1e6) / load.answered,
    entryCpuMicrosecondsPerToken: (entryCpu * 1e6) / load.tokens,
    agentCpuMicrosecondsPerRequest: (agentCpu * 1e6) / load.answered,
    agentCpuMicrosecondsPerToken: (agentCpu * 1e6) / load.tokens,
    entryResidentBytes: entry.residentBytes,
    agentResidentBytes: agent.residentBytes,
  };
}

async function startBareEntry(site: SmallSite) {
  const [port] = await freePorts(1);
  const address = `127.0.0.1:${port}`;
  const agentAddress = site.engines[0]?.spec.siteAddress ?? '';
  const child = spawn(
    process.execPath,
    ['dist/bare_entry.cjs', address, agentAddress, DEMO_KEYS.site],
    {stdio: ['ignore', 'pipe', 'inherit']},
  );
  await new Promise(resolve => child.stdout.once('data', resolve));
  return {url: `http://${address}`, child};
}

async function main(): Promise<void> {
  const site = await startSmallSite({
    entries: 1,
    engines: 1,
    plainServices: 0,
    binary: false,
    engineOptions: ENGINE_OPTIONS,
  });
  try {
    const version = await publishVersion(site, 'one', 1);
    const {plan} = await planByCommand(site, initialIntent(site, 'one'));
    await confirmByCommand(site, plan.planId);
    await waitUntilServed(site, version, DEMO_KEYS.operator);
    const entry = site.entries[0];
    const agent = site.engines[0]?.agent;
    if (entry === undefined || agent === undefined) throw new Error('no site');
    const agentId = agent.processId;
    const ours = await measure(entry.url, entry.process.processId, agentId);
    const bare = await startBareEntry(site);
    const bareId = bare.child.pid ?? 0;
    const forwarded = await measure(bare.url, bareId, agentId);
    bare.child.kill('SIGKILL');
    const result = {
      hibiscusbeam: describe(ours),
      bareForward: describe(forwarded),
    };
    const ratio = {
      requestsPerSecond:
        result.hibiscusbeam.requestsPerSecond /
        result.bareForward.requestsPerSecond,
      entryCpuPerRequest:
        result.hibiscusbeam.entryCpuMicrosecondsPerRequest /
        result.bareForward.entryCpuMicrosecondsPerRequest,
    };
    const report = {...result, ratio};
    console.log(JSON.stringify(report, null, values.json ? undefined : 2));
  } finally {
    await site.stop();
  }
}

main().then(
  () => process.exit(0),
  error => {
    console.error(error);
    process.exit(1);
  },
);
