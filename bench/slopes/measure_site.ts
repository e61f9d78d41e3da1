import type {SiteProcess} from '../../demo/site/processes';
import type {SmallSite} from '../../demo/site/small_site';
import {readUsage} from '../shared/process_usage';
import {mean} from './fit';
import {readSiteBytes} from './site_bytes';

/** Mean resource use of the processes of one role. */
export interface RoleUse {
  readonly cpuShare: number;
  /** TCP payload, sent and received. */
  readonly bytesPerSecond: number;
  readonly residentBytes: number;
}

/** Resource use of both roles over a time window. */
export interface SiteUse {
  readonly seconds: number;
  readonly entry: RoleUse;
  readonly agent: RoleUse;
  readonly tableReads: number;
  readonly tableWrites: number;
}

interface Counters {
  readonly table: {readonly reads: number; readonly writes: number};
}

async function readCounters(site: SmallSite): Promise<Counters> {
  const reply = await fetch(`${site.platformUrl}/counters`);
  return (await reply.json()) as Counters;
}

function portOf(address: string): number {
  return Number(address.split(':').at(-1));
}

/** Measures all entries and agents while `action` runs. */
export async function measureSite(
  site: SmallSite,
  action: () => Promise<void>,
): Promise<SiteUse> {
  const entries = site.entries.map(entry => entry.process);
  const targets = [...site.engines, ...site.plainServices];
  const agents = targets.map(target => target.agent);
  const ports = new Set(
    [...site.entries, ...targets].map(({spec: place}) =>
      portOf(place.siteAddress),
    ),
  );
  const read = () => ({
    bytes: readSiteBytes(ports),
    usage: new Map(
      [...entries, ...agents].map(({processId}) => [
        processId,
        readUsage(processId),
      ]),
    ),
  });
  const countersBefore = await readCounters(site);
  const before = read();
  const startedAt = performance.now();
  await action();
  const seconds = (performance.now() - startedAt) / 1_000;
  const after = read();
  const countersAfter = await readCounters(site);

  const useOf = (processes: readonly SiteProcess[]): RoleUse => {
    const ids = processes.map(process => process.processId);
    const cpu = ids.map(
      id =>
        (after.usage.get(id)?.cpuSeconds ?? 0) -
        (before.usage.get(id)?.cpuSeconds ?? 0),
    );
    const total = (bytes: ReturnType<typeof readSiteBytes>, id: number) => {
      const found = bytes.get(id);
      return (found?.sent ?? 0) + (found?.received ?? 0);
    };
    const bytes = ids.map(
      id => total(after.bytes, id) - total(before.bytes, id),
    );
    const resident = ids.map(id => after.usage.get(id)?.residentBytes ?? 0);
    return {
      cpuShare: mean(cpu) / seconds,
      bytesPerSecond: mean(bytes) / seconds,
      residentBytes: mean(resident),
    };
  };
  return {
    seconds,
    entry: useOf(entries),
    agent: useOf(agents),
    tableReads: countersAfter.table.reads - countersBefore.table.reads,
    tableWrites: countersAfter.table.writes - countersBefore.table.writes,
  };
}
