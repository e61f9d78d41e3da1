import {exchangeJson} from '../../demo/site/http';
import {closeSitePeers} from '../../demo/site/site_peers';
import {startSmallSite, type SmallSite} from '../../demo/site/small_site';
import {
  waitForCommit,
  confirmChange,
  readHeadGeneration,
  isPlanCommitted,
  planChange,
  waitForGeneration,
} from './changes';
import {readOptions, type BenchOptions, type Fault} from './options';
import {listProcesses, type BenchProcess} from './site_processes';
import {
  bytesPerNodePerSecond,
  readTraffic,
  secondsBetween,
  type Traffic,
} from './traffic';

/** Share of the processes that is killed right after the commit. */
const KILLED_SHARE = 0.25;

/** Changes made at a constant rate while bytes are counted without polling. */
const TRAFFIC_CHANGES = 20;

const TRAFFIC_CHANGE_INTERVAL_MS = 1_000;

/** Unmeasured changes at the start, until all processes are connected. */
const WARM_UP_CHANGES = 3;

interface Change {
  readonly planId: string;
  readonly generation: number;
  /** Time from sending the confirmation until all processes have applied it. */
  readonly seconds: number;
}

const options = readOptions(process.argv.slice(2));

function log(line: string): void {
  if (!options.json) console.log(line);
}

async function setOutage(site: SmallSite, outage: boolean): Promise<void> {
  await exchangeJson('POST', `${site.platformUrl}/faults`, {
    table: {outage},
    weights: {outage},
    objects: {outage},
  });
}

/** Makes a change and waits until it is in force in all processes. */
async function measureChange(
  site: SmallSite,
  processes: readonly BenchProcess[],
  number: number,
  fault: Fault,
): Promise<Change> {
  const {planId, base} = await planChange(site, number);
  const expected = base + 1;
  const from = performance.now();
  const confirmed = confirmChange(site, number, planId);
  const faultInjected = injectFaultAfterCommit(
    site,
    processes,
    number,
    expected,
    fault,
  );
  const reached = await Promise.all(
    processes.map(one => waitForGeneration(one, expected)),
  );
  const seconds = (Math.max(...reached) - from) / 1_000;
  logReachTimes(processes, reached, from);
  const generation = await confirmed;
  await faultInjected;
  if (fault !== 'none') await endOutage(site, processes, expected);
  return {planId, generation, seconds};
}

/** Logs when the surviving and the replaced processes reached the change. */
function logReachTimes(
  processes: readonly BenchProcess[],
  reached: readonly number[],
  from: number,
): void {
  const secondsOf = (wanted: boolean): string => {
    const times = reached
      .filter((_, index) => processes[index]?.isReplaced() === wanted)
      .map(at => (at - from) / 1_000);
    return times.length === 0 ? 'none' : Math.max(...times).toFixed(3);
  };
  log(`  last surviving: ${secondsOf(false)}, replaced: ${secondsOf(true)}`);
}

async function injectFaultAfterCommit(
  site: SmallSite,
  processes: readonly BenchProcess[],
  number: number,
  generation: number,
  fault: Fault,
): Promise<void> {
  if (fault === 'none') return;
  await waitForCommit(site, generation);
  await setOutage(site, true);
  if (fault === 'kill') await replaceSomeProcesses(processes, number);
}

/** Kills different processes with each change, including entries. */
async function replaceSomeProcesses(
  processes: readonly BenchProcess[],
  number: number,
): Promise<void> {
  const count = Math.round(processes.length * KILLED_SHARE);
  const step = Math.floor(processes.length / count);
  // The entry that serves the confirmation is kept, as the change waits for it.
  const killed = Array.from(
    {length: count},
    (_, index) => processes[(number + 1 + index * step) % processes.length],
  );
  await Promise.all(killed.map(one => one?.replace()));
}

/** Keeps the outage up; no generation may go back during or after it. */
async function endOutage(
  site: SmallSite,
  processes: readonly BenchProcess[],
  generation: number,
): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, options.outage));
  await Promise.all(processes.map(one => waitForGeneration(one, generation)));
  await setOutage(site, false);
  await Promise.all(processes.map(one => one.ready()));
  await Promise.all(processes.map(one => waitForGeneration(one, generation)));
}

/** Bytes of one node while changes are made and processes are not polled. */
async function measureTraffic(
  site: SmallSite,
  processes: readonly BenchProcess[],
  first: number,
): Promise<number> {
  const before = await readTraffic(site, processes);
  for (let number = first; number < first + TRAFFIC_CHANGES; number += 1) {
    const next = performance.now() + TRAFFIC_CHANGE_INTERVAL_MS;
    const {planId} = await planChange(site, number);
    await confirmChange(site, number, planId);
    const pause = Math.max(0, next - performance.now());
    await new Promise(resolve => setTimeout(resolve, pause));
  }
  return bytesPerNodePerSecond(before, await readTraffic(site, processes));
}

async function run(site: SmallSite) {
  const processes = listProcesses(site);
  for (let number = 0; number < WARM_UP_CHANGES; number += 1) {
    await measureChange(site, processes, number, 'none');
  }
  const before: Traffic = await readTraffic(site, processes);
  const changes: Change[] = [];
  const planCommitted: boolean[] = [];
  const end = WARM_UP_CHANGES + options.changes;
  for (let number = WARM_UP_CHANGES; number < end; number += 1) {
    const made = await measureChange(site, processes, number, options.fault);
    changes.push(made);
    // Checked immediately, as plans are deleted some generations later.
    planCommitted.push(
      await isPlanCommitted(site, made.planId, made.generation),
    );
    log(`generation ${made.generation}: ${made.seconds.toFixed(3)} s`);
  }
  const after = await readTraffic(site, processes);
  const bytes = await measureTraffic(site, processes, end);
  const isHistoryComplete =
    (await readHeadGeneration(site)) === end + TRAFFIC_CHANGES;
  const seconds = changes.map(made => made.seconds).sort((a, b) => a - b);
  const ranked = (share: number): number =>
    seconds[Math.max(0, Math.ceil(share * seconds.length) - 1)] ?? 0;
  const ran = secondsBetween(before, after);
  return {
    processes: processes.length,
    changes: changes.length,
    p50Seconds: round(ranked(0.5)),
    p99Seconds: round(ranked(0.99)),
    maxSeconds: round(ranked(1)),
    reverted: processes.reduce((sum, one) => sum + one.reverted(), 0),
    lost:
      planCommitted.filter(isCommitted => !isCommitted).length +
      (isHistoryComplete ? 0 : 1),
    bytesPerNodePerSecond: Math.round(bytes),
    tableReadsPerSecond: round((after.tableReads - before.tableReads) / ran),
    tableWritesPerSecond: round((after.tableWrites - before.tableWrites) / ran),
  };
}

function round(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}

async function main({entries, agents}: BenchOptions): Promise<void> {
  log(`Starting ${entries} entries and ${agents} agents with their engines.`);
  const site = await startSmallSite({
    entries,
    engines: agents,
    plainServices: 0,
    binary: false,
  });
  try {
    const result = await run(site);
    console.log(JSON.stringify(result));
  } finally {
    closeSitePeers();
    await site.stop();
  }
}

main(options).then(
  () => process.exit(0),
  error => {
    console.error(error);
    process.exit(1);
  },
);
