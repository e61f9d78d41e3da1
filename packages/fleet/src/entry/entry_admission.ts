import {
  createDemandMeter,
  createLevelAdmission,
  createSlotTimes,
  createSiteDemand,
  wirePriority,
  hash32,
  retryDelay,
  type AdmissionLevel,
  type Milliseconds,
  type ServiceDemand,
  type ServiceName,
  type TargetRegistry,
  type ZoneDemand,
} from '@hibiscusbeam/core';
import type {Clock, Log} from '@hibiscusbeam/daemon';
import {createAdmissionMonitor} from './admission_monitor';
import type {CountedAdmission, FleetMetrics} from './fleet_metrics';
import type {AcceptedRequest} from './request_acceptance';
import {spreadRetryAfter} from './timeliness';

/** The least urgent priority that engines know. */
const LEAST_URGENT_PRIORITY = 9;

/** Wait from which a request counts as held. */
const MIN_HELD_WAIT: Milliseconds = 1;

/** Time for which the sums by zone are kept before they are added up anew. */
const MAX_SUMS_AGE: Milliseconds = 50;

/** Exchange of what callers ask for among the entries. */
export interface DemandExchange {
  /** What the callers of this entry ask for. */
  readonly own: () => readonly ServiceDemand[];
  /** Sums by zone, the own one first; empty without admission by level. */
  readonly zones: () => readonly ZoneDemand[];
  readonly recordFollower: (
    instance: string,
    demands: readonly ServiceDemand[],
  ) => void;
  readonly recordZones: (zones: readonly ZoneDemand[]) => void;
}

/** Whether a request is admitted on its arrival. */
export type ArrivalDecision =
  | {
      readonly kind: 'admitted';
      /** Undefined if nothing was to be decided. */
      readonly by: 'level' | 'spare' | undefined;
    }
  | {readonly kind: 'belowLevel'; readonly level: AdmissionLevel};

/** Admission at one entry. */
export interface EntryAdmission {
  readonly isByLevel: boolean;
  readonly exchange: DemandExchange;
  /** Decides on a request that has not waited yet. */
  readonly arrive: (accepted: AcceptedRequest) => ArrivalDecision;
  /** Notes how long an admitted request has waited, and why in vain. */
  readonly recordWait: (
    accepted: AcceptedRequest,
    waited: Milliseconds,
    refusedFor: string | undefined,
  ) => void;
  /** When the caller of a refused request should come back, not before `least`. */
  readonly retryAfter: (
    accepted: AcceptedRequest,
    least: Milliseconds,
  ) => Milliseconds;
  /** How long a request will probably hold its place. */
  readonly slotTime: (accepted: AcceptedRequest) => Milliseconds;
  /** Notes how long a request has held its place. */
  readonly recordHeld: (accepted: AcceptedRequest, held: Milliseconds) => void;
}

/** What admission at an entry goes by. */
export interface EntryAdmissionOptions {
  readonly instance: string;
  readonly zone: string;
  readonly registry: TargetRegistry;
  readonly metrics: FleetMetrics;
  readonly log: Log;
  readonly clock: Clock;
  /** Entries that are known of, this one included. */
  readonly entries: () => number;
  readonly followsRelay: () => boolean;
  /** Requests that wait here for a place. */
  readonly waitingFor: (service: ServiceName, priority?: number) => number;
}

/** Admission of all requests. */
export const NO_ADMISSION: EntryAdmission = {
  isByLevel: false,
  exchange: {
    own: () => [],
    zones: () => [],
    recordFollower: () => undefined,
    recordZones: () => undefined,
  },
  arrive: () => ({kind: 'admitted', by: undefined}),
  recordWait: () => undefined,
  retryAfter: ({header, route}, least) =>
    spreadRetryAfter(header.requestId, route, least),
  slotTime: () => 0,
  recordHeld: () => undefined,
};

/** Creates admission by level. */
export function createEntryAdmission(
  options: EntryAdmissionOptions,
): EntryAdmission {
  const {clock, registry, entries, waitingFor} = options;
  const meter = createDemandMeter();
  const placeTimes = createSlotTimes();
  const monitor = createAdmissionMonitor(options.metrics, options.log);
  const own = (now: number): readonly ServiceDemand[] =>
    meter.demands(now, waitingFor);
  const site = createSiteDemand({...options, own});
  const levels = createLevelAdmission({
    instance: options.instance,
    demand: site.demandFor,
    capacity: registry.capacity,
    entries,
  });

  let sums: readonly ZoneDemand[] = [];
  let summedAt = -Infinity;

  /** One sum for all followers, which are told one after the other. */
  function zones(): readonly ZoneDemand[] {
    const now = clock();
    if (now - summedAt < MAX_SUMS_AGE) return sums;
    summedAt = now;
    sums = site.zones(now);
    return sums;
  }

  function placeTime(accepted: AcceptedRequest): Milliseconds {
    return placeTimes.slotTime(accepted.service, expectedTime(accepted));
  }

  function arrive(accepted: AcceptedRequest): ArrivalDecision {
    const {service, header} = accepted;
    const request = {
      service,
      priority: priorityOf(accepted),
      workspace: workspaceOf(accepted),
      slotTime: placeTime(accepted),
    };
    const now = clock();
    meter.record(request, now);
    // A stream that goes on has had its place before.
    if (header.resumeAfter !== undefined || request.slotTime === 0) {
      return {kind: 'admitted', by: undefined};
    }
    const decision = levels.decide(request, waitingFor(service), now);
    if (decision.kind !== 'noLevel') {
      monitor.recordLevel(service, decision.level, now);
      count(accepted, ...countedAs(decision.kind));
    }
    switch (decision.kind) {
      case 'noLevel':
        return {kind: 'admitted', by: undefined};
      case 'admitted':
        return {kind: 'admitted', by: 'level'};
      case 'spare':
        return {kind: 'admitted', by: 'spare'};
      case 'belowLevel':
        return decision;
    }
  }

  function count(
    accepted: AcceptedRequest,
    outcome: CountedAdmission['outcome'],
    reason: string,
  ): void {
    const {service} = accepted;
    const priority = wirePriority(priorityOf(accepted));
    options.metrics.countAdmission({service, priority, outcome, reason});
  }

  return {
    isByLevel: true,
    exchange: {
      own: () => own(clock()),
      zones,
      recordFollower: (instance, demands) =>
        site.recordFollower(instance, demands, clock()),
      recordZones: site.recordZones,
    },
    arrive,
    recordWait: (accepted, waited, refusedFor) => {
      options.metrics.observeSlotWait(accepted.service, waited);
      if (waited >= MIN_HELD_WAIT) count(accepted, 'held', 'allFull');
      if (refusedFor !== undefined) count(accepted, 'refused', refusedFor);
    },
    retryAfter: (accepted, least) => {
      const {header, route, service, deadline} = accepted;
      const now = clock();
      return retryDelay({
        objective: route.objective,
        timeLeft: deadline - now,
        priority: priorityOf(accepted),
        spread: hash32(header.requestId ?? '') / 2 ** 32,
        pressure: levels.pressure(service, now),
        minDelay: least,
      });
    },
    slotTime: placeTime,
    recordHeld: (accepted, held) => {
      const {service} = accepted;
      const now = clock();
      const {places, pacedPlaces} = registry.capacity(service, now);
      // Slow engines count in the capacity, so not in the time as well.
      const pace = pacedPlaces > 0 ? places / pacedPlaces : 1;
      const expected = expectedTime(accepted);
      placeTimes.record(service, {expected, held: held / pace}, now);
    },
  };
}

/** Outcome and reason as they are counted. */
function countedAs(
  kind: 'admitted' | 'spare' | 'belowLevel',
): readonly [CountedAdmission['outcome'], string] {
  switch (kind) {
    case 'admitted':
      return ['admitted', 'level'];
    case 'spare':
      return ['admitted', 'spare'];
    case 'belowLevel':
      return ['refused', 'belowLevel'];
  }
}

/** Undefined if nothing says how long the answer will be. */
function expectedTime({run}: AcceptedRequest): Milliseconds | undefined {
  return run.writingTime > 0 ? run.promptTime + run.writingTime : undefined;
}

/** The workspace's priority where it has one, else the route's. */
export function priorityOf({access, route}: AcceptedRequest): number {
  const ofWorkspace =
    access.kind === 'workspace' ? access.workspace.priority : undefined;
  return ofWorkspace ?? route.priority;
}

/** The priority as engines are told it: 0 to 9. */
export function enginePriority(accepted: AcceptedRequest): number {
  return Math.min(LEAST_URGENT_PRIORITY, wirePriority(priorityOf(accepted)));
}

/** The workspace of its caller; undefined for callers without a key. */
export function workspaceOf({access}: AcceptedRequest): string | undefined {
  return access.kind === 'workspace' ? access.workspace.name : undefined;
}
