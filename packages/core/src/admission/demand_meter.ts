import type {Milliseconds, MonotonicInstant, ServiceName} from '../types';
import type {ArrivingRequest, ServiceDemand} from './types';

/** Time over which demand is measured. */
const WINDOW: Milliseconds = 1_000;

/** Length of the periods that the window is counted in. */
const PERIOD: Milliseconds = 100;

const PERIODS = WINDOW / PERIOD;

/** Measures what the callers of one entry ask for. */
export interface DemandMeter {
  readonly record: (
    request: Pick<ArrivingRequest, 'service' | 'priority' | 'slotTime'>,
    now: MonotonicInstant,
  ) => void;
  /** Demand of the last second; what nobody asks for is left out. */
  readonly demands: (
    now: MonotonicInstant,
    waiting: (service: ServiceName, priority: number) => number,
  ) => readonly ServiceDemand[];
}

interface Counted {
  readonly service: ServiceName;
  readonly priority: number;
  /** Place time asked for, by period. */
  readonly periods: Map<number, Milliseconds>;
}

/**
 * A priority as it is exchanged. Configurations may hold negative ones and
 * fractions, which messages can't carry.
 */
export function wirePriority(priority: number): number {
  return Number.isFinite(priority) ? Math.max(0, Math.trunc(priority)) : 0;
}

/** Creates a meter that has seen no request. */
export function createDemandMeter(): DemandMeter {
  const counts = new Map<string, Counted>();

  function record(
    request: Pick<ArrivingRequest, 'service' | 'priority' | 'slotTime'>,
    now: MonotonicInstant,
  ): void {
    const {service, slotTime} = request;
    const priority = wirePriority(request.priority);
    const key = `${priority} ${service}`;
    const counted = counts.get(key) ?? {service, priority, periods: new Map()};
    counts.set(key, counted);
    const period = Math.floor(now / PERIOD);
    const before = counted.periods.get(period) ?? 0;
    counted.periods.set(period, before + slotTime);
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
      for (const [period, asked] of periods) {
        if (period < first) periods.delete(period);
        else slotTime += asked;
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
