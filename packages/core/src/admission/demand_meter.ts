import type {Milliseconds, MonotonicInstant, ServiceName} from '../types';
import type {ArrivingRequest, ServiceDemand} from './types';

/** Window over which demand is measured. */
const WINDOW: Milliseconds = 1_000;

/** Length of the periods that the window is divided into. */
const PERIOD: Milliseconds = 100;

const PERIODS = WINDOW / PERIOD;

/** Measures the demand of one entry's callers. */
export interface DemandMeter {
  readonly record: (
    request: Pick<ArrivingRequest, 'service' | 'priority' | 'slotTime'>,
    now: MonotonicInstant,
  ) => void;
  /**
   * Demand of the last second; services and priorities without any are omitted.
   */
  readonly demands: (
    now: MonotonicInstant,
    waiting: (service: ServiceName, priority: number) => number,
  ) => readonly ServiceDemand[];
}

interface PriorityCount {
  readonly service: ServiceName;
  readonly priority: number;
  /** Requested slot time by period. */
  readonly periods: Map<number, Milliseconds>;
}

/**
 * Returns a priority as it is sent. Configurations may contain negative or
 * fractional ones, which messages can't carry.
 */
export function wirePriority(priority: number): number {
  return Number.isFinite(priority) ? Math.max(0, Math.trunc(priority)) : 0;
}

/** Creates a meter without requests. */
export function createDemandMeter(): DemandMeter {
  const counts = new Map<string, PriorityCount>();

  function record(
    request: Pick<ArrivingRequest, 'service' | 'priority' | 'slotTime'>,
    now: MonotonicInstant,
  ): void {
    const {service, slotTime} = request;
    const priority = wirePriority(request.priority);
    const key = `${priority} ${service}`;
    const count = counts.get(key) ?? {service, priority, periods: new Map()};
    counts.set(key, count);
    const period = Math.floor(now / PERIOD);
    const before = count.periods.get(period) ?? 0;
    count.periods.set(period, before + slotTime);
  }

  function demands(
    now: MonotonicInstant,
    waiting: (service: ServiceName, priority: number) => number,
  ): readonly ServiceDemand[] {
    const first = Math.floor(now / PERIOD) - PERIODS;
    const span = now - first * PERIOD;
    const measured: ServiceDemand[] = [];
    for (const [key, {service, priority, periods}] of counts) {
      let slotTime = 0;
      for (const [period, requested] of periods) {
        if (period < first) periods.delete(period);
        else slotTime += requested;
      }
      if (periods.size === 0) counts.delete(key);
      const places = slotTime / span;
      if (places === 0) continue;
      const waits = waiting(service, priority);
      measured.push({service, priority, places, waiting: waits});
    }
    return measured;
  }

  return {record, demands};
}
