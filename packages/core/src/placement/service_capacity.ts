import type {ServiceCapacity} from '../admission/types';
import type {MonotonicInstant} from '../types';
import {isReported, type TargetRecord} from './target_record';

/**
 * Bounds of a pace, so that an engine that misreports it still counts in part.
 */
const MIN_PACE = 0.5;
const MAX_PACE = 10;

/**
 * Returns the capacity of those `records` that are reported and don't load
 * weights.
 */
export function capacityOf(
  records: readonly TargetRecord[],
  now: MonotonicInstant,
): ServiceCapacity {
  let places = 0;
  let pacedPlaces = 0;
  let loading = 0;
  let free = 0;
  for (const record of records) {
    const {report, target, ownInFlightChange} = record;
    if (!isReported(record, now) || report === undefined) continue;
    if (report.ordering) {
      loading += target.slots;
      continue;
    }
    const used =
      report.running + report.waiting + Math.max(0, ownInFlightChange);
    places += target.slots;
    pacedPlaces += target.slots / boundedPace(report.pace);
    free += Math.max(0, target.slots - used);
  }
  return {places, pacedPlaces, loading, free};
}

function boundedPace(pace: number): number {
  if (!Number.isFinite(pace)) return 1;
  return Math.min(MAX_PACE, Math.max(MIN_PACE, pace));
}
