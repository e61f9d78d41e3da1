import type {
  InstanceName,
  Milliseconds,
  MonotonicInstant,
  ServiceName,
  ZoneName,
} from '../types';
import type {ServiceDemand, ZoneDemand} from './types';

/** Age after which received demand no longer counts. */
export const MAX_DEMAND_AGE: Milliseconds = 3_000;

/** Demand by priority. */
export type PriorityDemand = ReadonlyMap<number, number>;

/** The demand of all entries, as far as it is known. */
export interface SiteDemand {
  /** Records the demand of an entry that follows this one. */
  readonly recordFollower: (
    instance: InstanceName,
    demands: readonly ServiceDemand[],
    now: MonotonicInstant,
  ) => void;
  /** Records sums from a relay; those older than the known ones are dropped. */
  readonly recordZones: (zones: readonly ZoneDemand[]) => void;
  /** Sums by zone, this entry's zone first, to be relayed. */
  readonly zones: (now: MonotonicInstant) => readonly ZoneDemand[];
  /** Demand for a service from all entries, as far as it is known. */
  readonly demandFor: (
    service: ServiceName,
    now: MonotonicInstant,
  ) => PriorityDemand;
}

/** Options of a site's demand. */
export interface SiteDemandOptions {
  readonly zone: ZoneName;
  /** Demand of this entry's callers. */
  readonly own: (now: MonotonicInstant) => readonly ServiceDemand[];
  /** Number of known entries, including this one. */
  readonly entries: () => number;
  /** Whether this entry follows the relay of its zone. */
  readonly followsRelay: () => boolean;
}

interface FollowerDemand {
  readonly demands: readonly ServiceDemand[];
  readonly receivedAt: MonotonicInstant;
}

/** Creates the site's demand; nothing has been received yet. */
export function createSiteDemand(options: SiteDemandOptions): SiteDemand {
  const followers = new Map<InstanceName, FollowerDemand>();
  const zoneDemands = new Map<ZoneName, ZoneDemand>();

  function isFresh(
    receivedAt: MonotonicInstant,
    now: MonotonicInstant,
  ): boolean {
    return now - receivedAt < MAX_DEMAND_AGE;
  }

  /** The sum of this entry and its followers. */
  function followedDemand(now: MonotonicInstant): readonly ServiceDemand[] {
    const all = [...options.own(now)];
    for (const [instance, {demands, receivedAt}] of followers) {
      if (isFresh(receivedAt, now)) all.push(...demands);
      else followers.delete(instance);
    }
    return sumDemands(all);
  }

  /**
   * The sum of the own zone. A relay that has just taken over knows few
   * followers: the previous relay's sum counts until it expires, if it is
   * larger.
   */
  function ownZone(now: MonotonicInstant): ZoneDemand {
    const {zone} = options;
    const relayed = zoneDemands.get(zone);
    const isKnown = relayed !== undefined && isFresh(relayed.receivedAt, now);
    if (isKnown && options.followsRelay()) return relayed;
    const sum = {zone, demands: followedDemand(now), receivedAt: now};
    return isKnown && placesOf(relayed) > placesOf(sum) ? relayed : sum;
  }

  function zones(now: MonotonicInstant): readonly ZoneDemand[] {
    for (const [zone, {receivedAt}] of zoneDemands) {
      if (!isFresh(receivedAt, now)) zoneDemands.delete(zone);
    }
    const others = [...zoneDemands.values()].filter(
      ({zone}) => zone !== options.zone,
    );
    return [ownZone(now), ...others];
  }

  function isCutOff(now: MonotonicInstant): boolean {
    const isAnyKnown = [...zoneDemands.values(), ...followers.values()].some(
      ({receivedAt}) => isFresh(receivedAt, now),
    );
    return !isAnyKnown;
  }

  return {
    recordFollower: (instance, demands, now) =>
      void followers.set(instance, {demands, receivedAt: now}),
    recordZones: demands => {
      for (const zone of demands) {
        const last = zoneDemands.get(zone.zone);
        if (last !== undefined && last.receivedAt >= zone.receivedAt) {
          continue;
        }
        zoneDemands.set(zone.zone, zone);
      }
    },
    zones,
    demandFor: (service, now) => {
      // An entry without data from others assumes that all entries have its
      // demand.
      const isAlone = isCutOff(now);
      const scale = isAlone ? Math.max(1, options.entries()) : 1;
      const known = isAlone ? [{demands: options.own(now)}] : zones(now);
      const demand = new Map<number, number>();
      for (const {demands} of known) {
        for (const {service: requested, priority, places} of demands) {
          if (requested !== service) continue;
          const before = demand.get(priority) ?? 0;
          demand.set(priority, before + places * scale);
        }
      }
      return demand;
    },
  };
}

/** Adds up demands by service and priority. */
export function sumDemands(
  demands: readonly ServiceDemand[],
): readonly ServiceDemand[] {
  const sums = new Map<string, ServiceDemand>();
  for (const demand of demands) {
    const {service, priority} = demand;
    const key = `${priority} ${service}`;
    const {places, waiting} = sums.get(key) ?? {places: 0, waiting: 0};
    sums.set(key, {
      service,
      priority,
      places: places + demand.places,
      waiting: waiting + demand.waiting,
    });
  }
  return [...sums.values()];
}

function placesOf({demands}: ZoneDemand): number {
  return demands.reduce((sum, {places}) => sum + places, 0);
}
