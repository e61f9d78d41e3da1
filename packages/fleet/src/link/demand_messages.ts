import type {
  MonotonicInstant,
  ServiceDemand,
  ZoneDemand,
} from '@hibiscusbeam/core';
import type {FollowerGreeting, RelayNews} from '@hibiscusbeam/wire';

/**
 * Maximum number of rows read from a message; far more than services times
 * priorities.
 */
const MAX_ROWS = 1_000;

/** Reads demands and skips invalid rows. */
export function readDemands(
  rows: FollowerGreeting['demands'],
): readonly ServiceDemand[] {
  return rows
    .slice(0, MAX_ROWS)
    .filter(({places}) => Number.isFinite(places) && places >= 0);
}

/** Reads the sums by zone that a relay has sent. */
export function readZoneDemands(
  rows: RelayNews['demands'],
  now: MonotonicInstant,
): readonly ZoneDemand[] {
  return rows.slice(0, MAX_ROWS).map(({zone, demands, ageMilliseconds}) => ({
    zone,
    demands: readDemands(demands),
    receivedAt: now - ageMilliseconds,
  }));
}

/** Writes sums by zone. */
export function writeZoneDemands(
  zones: readonly ZoneDemand[],
  now: MonotonicInstant,
): RelayNews['demands'] {
  return zones.map(({zone, demands, receivedAt}) => ({
    zone,
    demands: [...demands],
    ageMilliseconds: Math.max(0, Math.round(now - receivedAt)),
  }));
}

/** Sums the slots requested in all zones. */
export function countRequestedSlots(zones: readonly ZoneDemand[]): number {
  return zones
    .flatMap(({demands}) => demands)
    .reduce((sum, {places}) => sum + places, 0);
}
