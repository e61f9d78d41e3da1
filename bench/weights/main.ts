import {AGENT_TRANSFERS, type TransferPolicy} from '@hibiscusbeam/core';
import {
  runSwarm,
  type SiteAgent,
  type SwarmSite,
} from '@hibiscusbeam/laboratory';
import {readOptions, type WeightsOptions} from './options';

/** Bytes a second of a link of one megabit a second. */
const MEGABIT = 1e6 / 8;

/** Time between two engines that join, and time to stage a chunk. */
const JOIN_GAP = 500;
const STORE_TIME = 5;

const CASES = ['named', 'late', 'joining'] as const;

/**
 * - `named`: a version is named while all engines serve.
 * - `late`: the same, and no engine may begin anything before it has it.
 * - `joining`: engines join that serve nothing; the others hold the version.
 */
type Case = (typeof CASES)[number];

function agentsOf(
  which: Case,
  options: WeightsOptions,
  policy: TransferPolicy,
  seed: number,
): readonly SiteAgent[] {
  const {engines, joining, zones, link} = options;
  const isJoining = which === 'joining';
  const total = isJoining ? engines + joining : engines;
  return Array.from({length: total}, (_, place) => {
    const joins = place >= engines;
    const servesNothing = joins || which === 'late';
    return {
      instance: `engine-${seed}-${place}`,
      zone: `zone-${place % zones}`,
      joinsAt: joins ? (place - engines) * JOIN_GAP : 0,
      holds: isJoining && !joins,
      linkRate: link * MEGABIT,
      linkShare: servesNothing ? 1 : policy.shareBesideLive,
    };
  });
}

function siteOf(
  which: Case,
  options: WeightsOptions,
  policy: TransferPolicy,
  seed: number,
): SwarmSite {
  return {
    agents: agentsOf(which, options, policy, seed),
    originRate: options.origin * MEGABIT,
    originFrom: 0,
    chunks: options.chunks,
    chunkSize: options.chunkSize,
    latency: (from, to) => (from === to ? 0.2 : options.latency),
    storeTime: STORE_TIME,
    seed,
    policy,
  };
}

function play(
  which: Case,
  options: WeightsOptions,
  policy: TransferPolicy,
): object {
  const times: number[] = [];
  const last: number[] = [];
  let originBytes = 0;
  let crossZoneBytes = 0;
  for (let seed = 1; seed <= options.seeds; seed += 1) {
    const site = siteOf(which, options, policy, seed);
    const results = runSwarm(site);
    const taken = results.flatMap((result, place) => {
      const {joinsAt, holds} = site.agents[place]!;
      originBytes += result.originBytes;
      crossZoneBytes += result.crossZoneBytes;
      return holds ? [] : [(result.readyAt ?? Infinity) - joinsAt];
    });
    times.push(...taken);
    last.push(Math.max(...taken));
  }
  const bytes = options.chunks * options.chunkSize * options.seeds;
  return {
    case: which,
    'mean ms': Math.round(mean(times)),
    'last ms': Math.round(mean(last)),
    'worst ms': Math.round(Math.max(...last)),
    'copies of the origin': (originBytes / bytes).toFixed(2),
    'copies between zones': (crossZoneBytes / bytes).toFixed(2),
  };
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

const options = readOptions(process.argv.slice(2));
const changes = JSON.parse(options.policy) as Partial<TransferPolicy>;
const policy = {...AGENT_TRANSFERS, ...changes};
console.table(CASES.map(which => play(which, options, policy)));
