import {readFileSync} from 'node:fs';

/** Clock ticks per second in /proc; fixed by the kernel's user interface. */
const TICKS_PER_SECOND = 100;

const PAGE_BYTES = 4_096;

/** CPU and memory use of a process. */
export interface ProcessUsage {
  /** CPU time since its start in seconds, user and system. */
  readonly cpuSeconds: number;
  readonly residentBytes: number;
}

/** Reads the CPU and memory use of a process from /proc. */
export function readUsage(processId: number): ProcessUsage {
  const stat = readFileSync(`/proc/${processId}/stat`, 'utf8');
  // The name in parentheses may contain spaces; fields are counted after it.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  const pages = Number(fields[21]);
  return {
    cpuSeconds: ticks / TICKS_PER_SECOND,
    residentBytes: pages * PAGE_BYTES,
  };
}
