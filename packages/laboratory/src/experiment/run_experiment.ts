import type {Milliseconds} from '@hibiscusbeam/core';
import {runSwarm} from '../swarm_run';
import type {Experiment, ExperimentCase} from './experiment_file';
import {buildSite} from './experiment_site';

/** Result of one policy in one case, over all seeds. */
export interface ExperimentResult {
  readonly policy: string;
  readonly case: ExperimentCase;
  /** Mean time until an engine had the version, over all engines and seeds. */
  readonly mean: Milliseconds;
  /** Time until the last engine had it, mean over the seeds. */
  readonly last: Milliseconds;
  /** Time until the last engine had it, in the worst seed. */
  readonly worst: Milliseconds;
  /** Engines that never had it, over all seeds. */
  readonly without: number;
  /** Copies of the version that the origin sent, mean over the seeds. */
  readonly originCopies: number;
  /** Copies sent between zones, mean over the seeds. */
  readonly crossZoneCopies: number;
}

/** Runs an experiment and yields its results one by one. */
export function* runExperiment(
  experiment: Experiment,
): Generator<ExperimentResult> {
  for (const experimentCase of experiment.cases) {
    for (const policy of Object.keys(experiment.policies)) {
      yield runCase(experiment, experimentCase, policy);
    }
  }
}

function runCase(
  experiment: Experiment,
  experimentCase: ExperimentCase,
  policy: string,
): ExperimentResult {
  const durations: Milliseconds[] = [];
  const last: Milliseconds[] = [];
  let without = 0;
  let originBytes = 0;
  let crossZoneBytes = 0;
  for (const seed of experiment.seeds) {
    const site = buildSite(
      experiment,
      experimentCase,
      experiment.policies[policy]!,
      seed,
    );
    const seedDurations: Milliseconds[] = [];
    for (const [index, result] of runSwarm(site).entries()) {
      originBytes += result.originBytes;
      crossZoneBytes += result.crossZoneBytes;
      const {joinsAt, holds, frozenFrom} = site.agents[index]!;
      if (holds || frozenFrom !== undefined) continue;
      if (result.readyAt === undefined) without += 1;
      else seedDurations.push(result.readyAt - joinsAt);
    }
    durations.push(...seedDurations);
    last.push(Math.max(0, ...seedDurations));
  }
  const {chunks, chunkBytes} = experiment.version;
  const bytes = chunks * chunkBytes * experiment.seeds.length;
  return {
    policy,
    case: experimentCase,
    mean: mean(durations),
    last: mean(last),
    worst: Math.max(...last),
    without,
    originCopies: originBytes / bytes,
    crossZoneCopies: crossZoneBytes / bytes,
  };
}

function mean(values: readonly number[]): number {
  const sum = values.reduce((total, value) => total + value, 0);
  return values.length === 0 ? 0 : sum / values.length;
}
