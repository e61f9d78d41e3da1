import {readFileSync, readdirSync} from 'node:fs';

/** Peak resident memory of a process, in bytes; undefined if it has ended. */
export function peakMemory(processId: number): number | undefined {
  const status = readProcessFile(processId, 'status');
  const kilobytes = /^VmHWM:\s*(\d+) kB$/m.exec(status ?? '')?.[1];
  return kilobytes === undefined ? undefined : Number(kilobytes) * 1_024;
}

/** Number of open descriptors of a process; 0 if it has ended. */
export function openDescriptors(processId: number): number {
  try {
    return readdirSync(`/proc/${processId}/fd`).length;
  } catch {
    return 0;
  }
}

function readProcessFile(processId: number, name: string): string | undefined {
  try {
    return readFileSync(`/proc/${processId}/${name}`, 'utf8');
  } catch {
    return undefined;
  }
}
