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

/** The least urgent priority that engines accept. */
const LEAST_URGENT_PRIORITY = 9;

/** Minimum wait from which a request counts as held. */
const MIN_HELD_WAIT: Milliseconds = 1;

/** How long the sums by zone are reused before they are computed again. */
const MAX_SUMS_AGE: Milliseconds = 50;

/** Exchange of demand among the entries. */
export interface DemandExchange {
  /** Demand of this entry's callers. */
  readonly own: () => readonly ServiceDemand[];
  /** Demand by zone, the own zone first; empty without admission by level. */
  readonly zones: () => readonly ZoneDemand[];
  readonly recordFollower: (
    instance: string,
    demands: readonly ServiceDemand[],
  ) => void;
  readonly recordZones: (zones: readonly ZoneDemand[]) => void;
}

/** Whether a request is admitted when it arrives. */
export type ArrivalDecision =
  | {
      readonly kind: 'admitted';
      /** Undefined if no decision was needed. */
      readonly by: 'level' | 'spare' | undefined;
    }
  | {readonly kind: 'belowLevel'; readonly level: AdmissionLevel};

/** Admission control of one entry. */
export interface EntryAdmission {
  readonly isByLevel: boolean;
  readonly exchange: DemandExchange;
  /** Decides about a request that has not waited yet. */
  readonly arrive: (accepted: AcceptedRequest) => ArrivalDecision;
  /**
   * Records how long an admitted request has waited and, if it got no slot,
   * why.
   */
  readonly recordWait: (
    accepted: AcceptedRequest,
    waited: Milliseconds,
    refusedFor: string | undefined,
  ) => void;
  /** Retry-After for the caller of a refused request, at least `least`. */
  readonly retryAfter: (
    accepted: AcceptedRequest,
    least: Milliseconds,
  ) => Milliseconds;
  /** How long a request will probably occupy its slot. */
  readonly slotTime: (accepted: AcceptedRequest) => Milliseconds;
  /** Records how long a request has occupied its slot. */
  readonly recordHeld: (accepted: AcceptedRequest, held: Milliseconds) => void;
}

/** Options of admission by level. */
export interface EntryAdmissionOptions {
  readonly instance: string;
  readonly zone: string;
  readonly registry: TargetRegistry;
  readonly metrics: FleetMetrics;
  readonly log: Log;
  readonly clock: Clock;
  /** Number of known entries, including this one. */
  readonly entries: () => number;
  readonly followsRelay: () => boolean;
  /** Number of requests that wait here for a slot. */
  readonly waitingFor: (service: ServiceName, priority?: number) => number;
}

/** Admits all requests. */
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

  /**
   * Computes the sums once for all followers, which are sent them one after the
   * other.
   */
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
    // A resumed stream has had its slot before.
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
      // Slow engines already reduce the capacity, so the time is corrected for
      // their pace.
      const pace = pacedPlaces > 0 ? places / pacedPlaces : 1;
      const expected = expectedTime(accepted);
      placeTimes.record(service, {expected, held: held / pace}, now);
    },
  };
}

/** Outcome and reason, as counted in the metrics. */
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

/** Undefined if the length of the answer can't be estimated. */
function expectedTime({run}: AcceptedRequest): Milliseconds | undefined {
  return run.writingTime > 0 ? run.promptTime + run.writingTime : undefined;
}

/** Priority of the workspace if it has one, otherwise of the route. */
export function priorityOf({access, route}: AcceptedRequest): number {
  const ofWorkspace =
    access.kind === 'workspace' ? access.workspace.priority : undefined;
  return ofWorkspace ?? route.priority;
}

/** Priority in the range that engines accept: 0 to 9. */
export function enginePriority(accepted: AcceptedRequest): number {
  return Math.min(LEAST_URGENT_PRIORITY, wirePriority(priorityOf(accepted)));
}

/** Workspace of the caller; undefined for callers without a key. */
export function workspaceOf({access}: AcceptedRequest): string | undefined {
  return access.kind === 'workspace' ? access.workspace.name : undefined;
}
