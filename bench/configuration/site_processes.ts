import type {SiteProcess} from '../../demo/site/processes';
import {askGeneration} from '../../demo/site/site_peers';
import type {
  RunningEntry,
  RunningTarget,
  SmallSite,
} from '../../demo/site/small_site';

/** One process of the site; killed ones come back in the same place. */
export interface BenchProcess {
  readonly name: string;
  readonly address: string;
  /** Ends it without warning and starts it anew at once. */
  readonly replace: () => Promise<void>;
  readonly isReplaced: () => boolean;
  readonly processId: () => number;
  /** Resolves once the present process is ready. */
  readonly ready: () => Promise<unknown>;
  /** Its generation; undefined if it does not answer or is not ready. */
  readonly askGeneration: () => Promise<number | undefined>;
  /** Times that its generation went down, also across its replacement. */
  readonly reverted: () => number;
}

/** Every process of the site that holds a configuration. */
export function processesOf(site: SmallSite): readonly BenchProcess[] {
  return [
    ...site.entries.map(entry => watch(site, entry, entry.process)),
    ...site.engines.map(engine => watch(site, engine, engine.agent)),
  ];
}

function watch(
  site: SmallSite,
  place: RunningEntry | RunningTarget,
  started: SiteProcess,
): BenchProcess {
  const address = place.place.siteAddress;
  let process = started;
  let highest = 0;
  let reverted = 0;
  return {
    name: place.name,
    address,
    replace: async () => {
      process.signal('SIGKILL');
      await process.exited;
      process = site.startAgain(place);
    },
    isReplaced: () => process !== started,
    processId: () => process.processId,
    ready: () => process.ready,
    askGeneration: async () => {
      const reply = await askGeneration(address);
      if (reply?.ready !== true) return undefined;
      if (reply.generation < highest) reverted += 1;
      highest = Math.max(highest, reply.generation);
      return reply.generation;
    },
    reverted: () => reverted,
  };
}
