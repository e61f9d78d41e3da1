import {
  createColdTargets,
  type ColdTarget,
  type ColdTargets,
  type EngineLoad,
  type InstanceName,
  type ListedTarget,
  type TargetIncarnation,
} from '@hibiscusbeam/core';
import type {Clock, Log} from '@hibiscusbeam/daemon';
import type {FleetMetrics} from './fleet_metrics';
import type {OperatorFollower} from './operator_follower';

/** Dependencies of the cold target monitor. */
export interface ColdTargetMonitorOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Pick<FleetMetrics, 'setColdTargets'>;
  /** Routes of the newest configuration; undefined until one was read. */
  readonly table: OperatorFollower['table'];
}

/** Tracks which targets are cold, from their registrations and from reports. */
export interface ColdTargetMonitor {
  readonly list: (targets: readonly ListedTarget[]) => void;
  readonly report: (load: EngineLoad) => void;
  readonly isCold: ColdTargets['isCold'];
  /** Requests a second from all entries together; undefined for no limit. */
  readonly rateOf: (life: TargetIncarnation) => number | undefined;
}

/** Creates the monitor; it logs each change. */
export function createColdTargetMonitor(
  options: ColdTargetMonitorOptions,
): ColdTargetMonitor {
  const {clock, log, metrics} = options;
  const targets = createColdTargets(service => {
    const described = options.table()?.service(service);
    if (described === undefined || described.kind === 'weightOrigin') {
      return undefined;
    }
    return described.coldStart;
  });
  let logged: ReadonlyMap<InstanceName, ColdTarget> = new Map();

  function logChanges(): void {
    const now = clock();
    const cold = new Map(targets.all(now).map(one => [one.instance, one]));
    for (const [instance, {service, until}] of cold) {
      if (logged.has(instance)) continue;
      const coldFor = Math.round(until - now);
      log.info('target is cold', {instance, service, coldFor});
    }
    for (const [instance, {service}] of logged) {
      if (cold.has(instance)) continue;
      log.info('target is cold no longer', {instance, service});
    }
    if (cold.size + logged.size > 0) metrics.setColdTargets([...cold.values()]);
    logged = cold;
  }

  return {
    list: listed => {
      targets.list(listed, clock());
      logChanges();
    },
    report: load => targets.report(load, clock()),
    isCold: targets.isCold,
    rateOf: life => targets.rateOf(life, clock()),
  };
}
