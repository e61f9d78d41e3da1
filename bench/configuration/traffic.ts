import {readFileSync} from 'node:fs';
import {exchangeJson} from '../../demo/site/http';
import type {SmallSite} from '../../demo/site/small_site';
import type {BenchProcess} from './site_processes';

/** Counters at one point in time. */
export interface Traffic {
  readonly at: number;
  /** Bytes read and written by each process, on sockets and in logs. */
  readonly bytes: readonly number[];
  readonly tableReads: number;
  readonly tableWrites: number;
}

/** Reads all counters. */
export async function readTraffic(
  site: SmallSite,
  processes: readonly BenchProcess[],
): Promise<Traffic> {
  const {table} = await exchangeJson<{
    table: {reads: number; writes: number};
  }>('GET', `${site.platformUrl}/counters`);
  return {
    at: performance.now(),
    bytes: processes.map(process => readProcessBytes(process.processId())),
    tableReads: table.reads,
    tableWrites: table.writes,
  };
}

/** Reads the kernel's I/O counters; loopback has no counter per process. */
function readProcessBytes(processId: number): number {
  const counters = readFileSync(`/proc/${processId}/io`, 'utf8');
  const valueOf = (name: string): number =>
    Number(new RegExp(`^${name}: (\\d+)$`, 'm').exec(counters)?.[1] ?? 0);
  return valueOf('rchar') + valueOf('wchar');
}

/** Mean bytes per process and second between two snapshots. */
export function bytesPerNodePerSecond(from: Traffic, to: Traffic): number {
  const gained = to.bytes.map(
    (bytes, index) => bytes - (from.bytes[index] ?? 0),
  );
  const total = gained.reduce((sum, bytes) => sum + bytes, 0);
  return total / gained.length / secondsBetween(from, to);
}

/** Seconds between two snapshots. */
export function secondsBetween(from: Traffic, to: Traffic): number {
  return (to.at - from.at) / 1_000;
}
