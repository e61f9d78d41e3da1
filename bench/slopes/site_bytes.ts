import {execFileSync} from 'node:child_process';

/** Bytes that a process has sent and received on site connections. */
export interface SiteBytes {
  readonly sent: number;
  readonly received: number;
}

const MAX_OUTPUT_BYTES = 64 * 1024 * 1024;

/**
 * Reads from the kernel the bytes of each process on TCP sockets with a site
 * address at one end. Counts only payload, without TCP and IP headers.
 */
export function readSiteBytes(
  sitePorts: ReadonlySet<number>,
): ReadonlyMap<number, SiteBytes> {
  const text = execFileSync('ss', ['-tniHpO'], {
    encoding: 'utf8',
    maxBuffer: MAX_OUTPUT_BYTES,
  });
  const byProcess = new Map<number, SiteBytes>();
  for (const line of text.split('\n')) {
    const ports = [...line.matchAll(/127\.0\.0\.1:(\d+)/g)].map(match =>
      Number(match[1]),
    );
    if (!ports.some(port => sitePorts.has(port))) continue;
    const processId = Number(/pid=(\d+)/.exec(line)?.[1]);
    const before = byProcess.get(processId) ?? {sent: 0, received: 0};
    byProcess.set(processId, {
      sent: before.sent + Number(/bytes_sent:(\d+)/.exec(line)?.[1] ?? 0),
      received:
        before.received + Number(/bytes_received:(\d+)/.exec(line)?.[1] ?? 0),
    });
  }
  return byProcess;
}
