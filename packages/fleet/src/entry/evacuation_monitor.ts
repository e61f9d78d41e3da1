import {
  createEvacuations,
  type Evacuations,
  type EvacuatedZone,
  type ZoneName,
} from '@hibiscusbeam/core';
import type {Log} from '@hibiscusbeam/daemon';
import type {ReadingScope} from '../link/feed_loop';
import type {OperatorReading} from '../ports';
import type {FleetMetrics} from './fleet_metrics';
import type {OperatorMoment} from './operator_follower';

/** Dependencies of the evacuation monitor. */
export interface EvacuationMonitorOptions {
  readonly log: Log;
  readonly metrics: Pick<FleetMetrics, 'setEvacuatedZones'>;
  /** Whether the settings contain a zone. */
  readonly isKnownZone: (zone: ZoneName) => boolean;
}

/** Tracks the zones that the operator wants evacuated. */
export interface EvacuationMonitor extends Pick<
  Evacuations,
  'zones' | 'isEvacuated'
> {
  /** Applies a reading of the operator's table by this entry. */
  readonly take: (reading: OperatorReading, scope: ReadingScope) => void;
  /** Applies a reading that a relay has sent. */
  readonly receive: (moment: OperatorMoment) => void;
}

/** Creates the monitor; it logs each change. */
export function createEvacuationMonitor(
  options: EvacuationMonitorOptions,
): EvacuationMonitor {
  const {log, metrics} = options;
  const evacuations = createEvacuations();

  function update(apply: () => void): void {
    const before = evacuations.zones();
    apply();
    const after = evacuations.zones();
    const begun = after.filter(({zone}) => !hasZone(before, zone));
    const ended = before.filter(({zone}) => !hasZone(after, zone));
    begun.forEach(logStarted);
    for (const {zone} of ended) log.info('zone no longer evacuated', {zone});
    if (begun.length + ended.length > 0) metrics.setEvacuatedZones(after);
  }

  function logStarted({zone, revision}: EvacuatedZone): void {
    if (options.isKnownZone(zone)) {
      return log.info('zone evacuated', {zone, revision});
    }
    log.warn('evacuated zone is not known', {zone, revision});
  }

  return {
    take: ({evacuations: changes, revision}, scope) =>
      update(() => {
        if (scope === 'changes') return evacuations.change(changes, revision);
        const zones = changes.filter(({isEvacuated}) => isEvacuated);
        evacuations.replace(zones, revision);
      }),
    receive: ({evacuatedZones, revision}) =>
      update(() => evacuations.replace(evacuatedZones, revision)),
    zones: evacuations.zones,
    isEvacuated: evacuations.isEvacuated,
  };
}

function hasZone(zones: readonly EvacuatedZone[], zone: ZoneName): boolean {
  return zones.some(other => other.zone === zone);
}
