import type {TransferPolicy} from '@hibiscusbeam/core';
import type {SiteAgent, SwarmSite} from '../swarm_site';
import type {Experiment, ExperimentCase} from './experiment_file';

/** Bytes a second of a link of one megabit a second. */
const MEGABIT = 1e6 / 8;

/** Time that an engine needs to stage a chunk, in milliseconds. */
const STORE_TIME = 5;

/** The site of one run of an experiment. */
export function siteOf(
  experiment: Experiment,
  which: ExperimentCase,
  policy: TransferPolicy,
  seed: number,
): SwarmSite {
  const {site, version} = experiment;
  return {
    agents: agentsOf(experiment, which, policy, seed),
    originRate: site.originMegabits * MEGABIT,
    originFrom: 0,
    chunks: version.chunks,
    chunkSize: version.chunkBytes,
    latency: (from, to) =>
      from === to ? site.latency.withinZone : site.latency.betweenZones,
    storeTime: STORE_TIME,
    seed,
    policy,
  };
}

function agentsOf(
  {site}: Experiment,
  which: ExperimentCase,
  policy: TransferPolicy,
  seed: number,
): readonly SiteAgent[] {
  const joining = which.kind === 'joining' ? which.engines : 0;
  return Array.from({length: site.engines + joining}, (_, place) => {
    const joins = place >= site.engines;
    const servesNothing = joins || which.kind === 'late';
    return {
      instance: `engine-${seed}-${place}`,
      zone: `zone-${place % site.zones}`,
      joinsAt:
        which.kind === 'joining' && joins
          ? (place - site.engines) * which.gap
          : 0,
      frozenFrom: which.kind === 'frozen' && place === 0 ? which.at : undefined,
      holds: which.kind === 'joining' && !joins,
      linkRate: site.engineLinkMegabits * MEGABIT,
      linkShare: servesNothing ? 1 : policy.shareBesideLive,
    };
  });
}
