import type {
  InstanceName,
  Milliseconds,
  MonotonicInstant,
  ServiceName,
  ZoneName,
} from '../types';
import type {ServiceDemand, ZoneDemand} from './types';

/** Age after which demand that was heard of counts no more. */
export const MAX_DEMAND_AGE: Milliseconds = 3_000;

/** Demand by priority. */
export type PriorityDemand = ReadonlyMap<number, number>;

/** What is known of the demand of all entries. */
export interface SiteDemand {
  /** Takes the demand of an entry that follows this one. */
  readonly recordFollower: (
    instance: InstanceName,
    demands: readonly ServiceDemand[],
    now: MonotonicInstant,
  ) => void;
  /** Takes sums that a relay has told; older ones than known are dropped. */
  readonly recordZones: (zones: readonly ZoneDemand[]) => void;
  /** Sums by zone, the own one first, to be passed on. */
  readonly zones: (now: MonotonicInstant) => readonly ZoneDemand[];
  /** Demand for a service, of all entries as far as is known. */
  readonly demandFor: (
    service: ServiceName,
    now: MonotonicInstant,
  ) => PriorityDemand;
}

/** What the site's demand is worked out from. */
export interface SiteDemandOptions {
  readonly zone: ZoneName;
  /** What the callers of this entry ask for. */
  readonly own: (now: MonotonicInstant) => readonly ServiceDemand[];
  /** Entries that are known of, this one included. */
  readonly entries: () => number;
  /** Whether this entry follows the relay of its zone. */
  readonly followsRelay: () => boolean;
}

interface FollowerDemand {
  readonly demands: readonly ServiceDemand[];
  readonly receivedAt: MonotonicInstant;
}

/** Creates the site's demand; nothing has been heard yet. */
export function createSiteDemand(options: SiteDemandOptions): SiteDemand {
  const followers = new Map<InstanceName, FollowerDemand>();
  const zoneDemands = new Map<ZoneName, ZoneDemand>();

  function isFresh(
    receivedAt: MonotonicInstant,
    now: MonotonicInstant,
  ): boolean {
    return now - receivedAt < MAX_DEMAND_AGE;
  }

  /** The sum of this entry and of those that follow it. */
  function followed(now: MonotonicInstant): readonly ServiceDemand[] {
    const all = [...options.own(now)];
    for (const [instance, {demands, receivedAt}] of followers) {
      if (isFresh(receivedAt, now)) all.push(...demands);
      else followers.delete(instance);
    }
    return sumDemands(all);
  }

  /**
   * The own zone's sum. A relay that has just taken over knows few followers
   * yet: the sum of the former one counts until it lapses, if it is larger.
   */
  function ownZone(now: MonotonicInstant): ZoneDemand {
    const {zone} = options;
    const relayed = zoneDemands.get(zone);
    const isKnown = relayed !== undefined && isFresh(relayed.receivedAt, now);
    if (isKnown && options.followsRelay()) return relayed;
    const sum = {zone, demands: followed(now), receivedAt: now};
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
        const before = zoneDemands.get(zone.zone);
        if (before !== undefined && before.receivedAt >= zone.receivedAt) {
          continue;
        }
        zoneDemands.set(zone.zone, zone);
      }
    },
    zones,
    demandFor: (service, now) => {
      // An entry that hears of no other takes itself for one of many alike.
      const isAlone = isCutOff(now);
      const scale = isAlone ? Math.max(1, options.entries()) : 1;
      const known = isAlone ? [{demands: options.own(now)}] : zones(now);
      const demand = new Map<number, number>();
      for (const {demands} of known) {
        for (const {service: asked, priority, places} of demands) {
          if (asked !== service) continue;
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
