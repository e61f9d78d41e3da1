import type {TransferPolicy} from '@hibiscusbeam/core';
import type {SiteAgent, SwarmSite} from '../swarm_site';
import type {Experiment, ExperimentCase} from './experiment_file';

/** Bytes in a megabit. */
const BYTES_PER_MEGABIT = 1e6 / 8;

/** Time that an engine needs to stage a chunk, in milliseconds. */
const STORE_TIME_MS = 5;

/** Builds the site of one run of an experiment. */
export function buildSite(
  experiment: Experiment,
  experimentCase: ExperimentCase,
  policy: TransferPolicy,
  seed: number,
): SwarmSite {
  const {site, version} = experiment;
  return {
    agents: buildAgents(experiment, experimentCase, policy, seed),
    originRate: site.originMegabits * BYTES_PER_MEGABIT,
    originStartsAt: 0,
    chunks: version.chunks,
    chunkSize: version.chunkBytes,
    latency: (from, to) =>
      from === to ? site.latency.withinZone : site.latency.betweenZones,
    storeTime: STORE_TIME_MS,
    seed,
    policy,
  };
}

function buildAgents(
  {site}: Experiment,
  experimentCase: ExperimentCase,
  policy: TransferPolicy,
  seed: number,
): readonly SiteAgent[] {
  const joiningCount =
    experimentCase.kind === 'joining' ? experimentCase.engines : 0;
  return Array.from({length: site.engines + joiningCount}, (_, index) => {
    const joinsLater = index >= site.engines;
    const servesNothing = joinsLater || experimentCase.kind === 'late';
    return {
      instance: `engine-${seed}-${index}`,
      zone: `zone-${index % site.zones}`,
      joinsAt:
        experimentCase.kind === 'joining' && joinsLater
          ? (index - site.engines) * experimentCase.gap
          : 0,
      frozenFrom:
        experimentCase.kind === 'frozen' && index === 0
          ? experimentCase.at
          : undefined,
      holds: experimentCase.kind === 'joining' && !joinsLater,
      linkRate: site.engineLinkMegabits * BYTES_PER_MEGABIT,
      linkShare: servesNothing ? 1 : policy.shareBesideLive,
    };
  });
}
