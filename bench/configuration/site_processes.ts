import type {SiteProcess} from '../../demo/site/processes';
import {requestGeneration} from '../../demo/site/site_peers';
import type {
  RunningEntry,
  RunningTarget,
  SmallSite,
} from '../../demo/site/small_site';

/** One process of the site; a killed one is restarted at the same address. */
export interface BenchProcess {
  readonly name: string;
  readonly address: string;
  /** Kills the process and restarts it immediately. */
  readonly replace: () => Promise<void>;
  readonly isReplaced: () => boolean;
  readonly processId: () => number;
  /** Resolves once the current process is ready. */
  readonly ready: () => Promise<unknown>;
  /** Its generation; undefined if it sends no reply or is not ready. */
  readonly requestGeneration: () => Promise<number | undefined>;
  /** How often its generation decreased, including across restarts. */
  readonly reverted: () => number;
}

/** Lists all processes of the site that hold a configuration. */
export function listProcesses(site: SmallSite): readonly BenchProcess[] {
  return [
    ...site.entries.map(entry => trackProcess(site, entry, entry.process)),
    ...site.engines.map(engine => trackProcess(site, engine, engine.agent)),
  ];
}

function trackProcess(
  site: SmallSite,
  member: RunningEntry | RunningTarget,
  started: SiteProcess,
): BenchProcess {
  const address = member.spec.siteAddress;
  let process = started;
  let highest = 0;
  let reverted = 0;
  return {
    name: member.name,
    address,
    replace: async () => {
      process.signal('SIGKILL');
      await process.exited;
      process = site.respawn(member);
    },
    isReplaced: () => process !== started,
    processId: () => process.processId,
    ready: () => process.ready,
    requestGeneration: async () => {
      const reply = await requestGeneration(address);
      if (reply?.ready !== true) return undefined;
      if (reply.generation < highest) reverted += 1;
      highest = Math.max(highest, reply.generation);
      return reply.generation;
    },
    reverted: () => reverted,
  };
}
