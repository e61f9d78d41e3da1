import {
  createDemandMeter,
  createLevelAdmission,
  createSiteDemand,
  type ArrivingRequest,
  type PriorityDemand,
} from '@hibiscusbeam/core';
import {
  KINDS,
  PLACES,
  WARM_UP,
  expectedSlotTime,
  type Call,
  type ModelOptions,
} from './model_calls';

const LIST_PERIOD = 1_000;

export interface DecisionSite {
  readonly now: () => number;
  readonly free: () => number;
  readonly waiting: (entry: number) => number;
  readonly after: (delay: number, run: () => void) => void;
}

export interface Decisions {
  readonly admits: (call: Call, entry: number) => boolean;
  readonly recordWait: (entry: number, waited: number) => void;
}

export function createDecisions(
  options: ModelOptions,
  site: DecisionSite,
): Decisions {
  switch (options.policy) {
    case 'none':
      return {admits: () => true, recordWait: () => undefined};
    case 'delayThreshold':
      return createDelayThresholds(options, site);
    case 'level':
      return createLevels(options, site, false);
    case 'singleQueue':
      return createLevels(options, site, true);
  }
}

function toArriving(call: Call): ArrivingRequest {
  const {priority} = call.kind;
  const slotTime = expectedSlotTime(call.kind);
  return {service: 'engines', priority, workspace: call.workspace, slotTime};
}

/** With complete knowledge the demand is known without delay, by its rate. */
function createLevels(
  options: ModelOptions,
  site: DecisionSite,
  isComplete: boolean,
): Decisions {
  const {engines, entries: entryCount} = options;
  const count = isComplete ? 1 : entryCount;
  const places = engines * PLACES;
  const exact = new Map<number, PriorityDemand>();
  function exactDemand(): PriorityDemand {
    const load =
      site.now() < WARM_UP
        ? (options.loadBefore ?? options.load)
        : options.load;
    const known = exact.get(load);
    if (known !== undefined) return known;
    const times = KINDS.map(kind => kind.share * expectedSlotTime(kind));
    const all = times.reduce((sum, time) => sum + time, 0);
    const demand = new Map(
      KINDS.map((kind, index) => [
        kind.priority,
        (places * load * times[index]!) / all,
      ]),
    );
    exact.set(load, demand);
    return demand;
  }
  const zoneCount = Math.min(3, count);
  const zoneOf = (entry: number): string => `z${entry % zoneCount}`;
  const entries = Array.from({length: count}, (_, index) => {
    const meter = createDemandMeter();
    const own = (now: number) => meter.demands(now, () => site.waiting(index));
    const demand = createSiteDemand({
      zone: zoneOf(index),
      own,
      entries: () => count,
      followsRelay: () => index >= zoneCount,
    });
    const admission = createLevelAdmission({
      instance: `entry-${index}`,
      demand: (service, now) =>
        isComplete ? exactDemand() : demand.demandFor(service, now),
      capacity: () => ({
        places,
        pacedPlaces: places,
        loading: 0,
        free: site.free(),
      }),
      entries: () => count,
      utilization: options.utilization,
      floorBase: options.floorBase,
    });
    return {meter, own, demand, admission};
  });
  if (!isComplete) exchangeLists();

  /**
   * Each entry reports to its relay every second; relays exchange their sums
   * every second.
   */
  function exchangeLists(): void {
    for (const [index, entry] of entries.entries()) {
      const reportToRelay = (): void => {
        const now = site.now();
        site.after(LIST_PERIOD, reportToRelay);
        if (index >= zoneCount) {
          const relay = entries[index % zoneCount]!;
          relay.demand.recordFollower(`entry-${index}`, entry.own(now), now);
          entry.demand.recordZones(relay.demand.zones(now));
          return;
        }
        const [ownZone] = entry.demand.zones(now);
        for (const other of entries.slice(0, zoneCount)) {
          if (other !== entry) other.demand.recordZones([ownZone!]);
        }
      };
      site.after((LIST_PERIOD * ((index * 7) % count)) / count, reportToRelay);
    }
  }

  return {
    admits: (call, entry) => {
      const {meter, admission} = entries[entry]!;
      const request = toArriving(call);
      meter.record(request, call.at);
      const {kind} = admission.decide(request, site.waiting(entry), call.at);
      return kind !== 'belowLevel';
    },
    recordWait: () => undefined,
  };
}

/**
 * Each entry learns a threshold from its own waits: if the mean over 250 ms
 * exceeds 20 ms, it is lowered by a twentieth of the priorities, otherwise
 * raised by a hundredth.
 */
function createDelayThresholds(
  {entries}: ModelOptions,
  {now}: DecisionSite,
): Decisions {
  const MAX_MEAN_WAIT = 20;
  const states = Array.from({length: entries}, () => ({
    threshold: KINDS.length,
    waits: 0,
    count: 0,
    since: 0,
    credits: KINDS.map((_, index) => index / KINDS.length),
  }));
  return {
    admits: (call, entry) => {
      const state = states[entry]!;
      const {priority} = call.kind;
      const share = Math.min(1, Math.max(0.25, state.threshold - priority));
      state.credits[priority]! += share;
      if (state.credits[priority]! < 1) return false;
      state.credits[priority]! -= 1;
      return true;
    },
    recordWait: (entry, waited) => {
      const state = states[entry]!;
      state.waits += waited;
      state.count += 1;
      if (now() - state.since < 250) return;
      const isLong = state.waits / state.count > MAX_MEAN_WAIT;
      const next = state.threshold + (isLong ? -0.15 : 0.03);
      state.threshold = Math.min(KINDS.length, Math.max(0, next));
      state.waits = 0;
      state.count = 0;
      state.since = now();
    },
  };
}
