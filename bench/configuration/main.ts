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

/** Of the processes, so many are killed right after the commit. */
const KILLED_SHARE = 0.25;

/** Changes at a steady pace while bytes are counted, unpolled. */
const TRAFFIC_CHANGES = 20;

const TRAFFIC_CHANGE_INTERVAL_MS = 1_000;

/** Made before anything is measured, until all have met one another. */
const WARM_UP_CHANGES = 3;

interface Change {
  readonly planId: string;
  readonly generation: number;
  /** From sending the confirmation to in force everywhere. */
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

/** Makes one change and waits until it is in force everywhere. */
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

/** For people: when those that stayed were there, and those replaced. */
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
  log(`  last that stayed: ${secondsOf(false)}, replaced: ${secondsOf(true)}`);
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

/** Kills other ones with each change, among them entries. */
async function replaceSomeProcesses(
  processes: readonly BenchProcess[],
  number: number,
): Promise<void> {
  const count = Math.round(processes.length * KILLED_SHARE);
  const step = Math.floor(processes.length / count);
  // The entry that answers the confirmation stays: its answer is the start.
  const killed = Array.from(
    {length: count},
    (_, index) => processes[(number + 1 + index * step) % processes.length],
  );
  await Promise.all(killed.map(one => one?.replace()));
}

/** Lets the outage last; nothing may go back during it or after it. */
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

/** Bytes of one node while changes are made and nobody asks the processes. */
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
    // At once: plans are deleted some generations later.
    planCommitted.push(
      await isPlanCommitted(site, made.planId, made.generation),
    );
    log(`generation ${made.generation}: ${made.seconds.toFixed(3)} s`);
  }
  const after = await readTraffic(site, processes);
  const bytes = await measureTraffic(site, processes, end);
  const inLine = (await readHeadGeneration(site)) === end + TRAFFIC_CHANGES;
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
      (inLine ? 0 : 1),
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
