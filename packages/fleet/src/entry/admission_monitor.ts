import {
  wirePriority,
  type AdmissionLevel,
  type Milliseconds,
  type MonotonicInstant,
  type ServiceName,
} from '@hibiscusbeam/core';
import type {Log} from '@hibiscusbeam/daemon';
import type {FleetMetrics} from './fleet_metrics';

/** Minimum time between two log lines about the level of a service. */
const MIN_LOG_PERIOD: Milliseconds = 1_000;

/** Minimum change of a share that is logged. */
const MIN_LOGGED_CHANGE = 0.2;

/** Reports admission levels to metrics and log. */
export interface AdmissionMonitor {
  readonly recordLevel: (
    service: ServiceName,
    level: AdmissionLevel,
    now: MonotonicInstant,
  ) => void;
}

interface LoggedLevel {
  readonly level: AdmissionLevel;
  readonly at: MonotonicInstant;
}

/** Creates the monitor. Metrics get every level, the log only changes. */
export function createAdmissionMonitor(
  metrics: FleetMetrics,
  log: Log,
): AdmissionMonitor {
  const logged = new Map<ServiceName, LoggedLevel>();
  const seen = new Map<ServiceName, AdmissionLevel>();

  return {
    recordLevel: (service, level, now) => {
      if (seen.get(service) === level) return;
      seen.set(service, level);
      for (const {priority, share} of level.shares) {
        metrics.setAdmissionShare(service, priority, share);
      }
      const last = logged.get(service);
      if (last !== undefined && now - last.at < MIN_LOG_PERIOD) return;
      if (!isWorthLogging(level, last?.level)) return;
      logged.set(service, {level, at: now});
      log.info('admission level changed', {service, ...describe(level)});
    },
  };
}

/** Nothing logged yet counts as all admitted. */
function isWorthLogging(
  {shares}: AdmissionLevel,
  before: AdmissionLevel | undefined,
): boolean {
  return shares.some(({priority, share}) => {
    const known = before?.shares.find(other => other.priority === priority);
    const change = Math.abs(share - (known?.share ?? 1));
    // The end of an overload is always logged, however small the last step.
    return change >= MIN_LOGGED_CHANGE || (share === 1 && change > 0);
  });
}

function describe({shares, demand, capacity}: AdmissionLevel) {
  return {
    shares: shares.map(
      ({priority, share}) => `${priority}: ${share.toFixed(2)}`,
    ),
    demand: Math.round(demand),
    capacity: Math.round(capacity),
  };
}

/** Describes, for the trace of a request, the level that refused it. */
export function describeRefusal(
  level: AdmissionLevel,
  priority: number,
): string {
  const {shares, demand, capacity} = describe(level);
  return `belowLevel, priority ${wirePriority(priority)}, shares ${shares.join(' ')}, demand ${demand} of ${capacity} places`;
}
