import type {Milliseconds, MonotonicInstant, ServiceName} from '../types';
import {hash32} from '../utils/hash';
import {wirePriority} from './demand_meter';
import {
  admissionLevel,
  shareAt,
  type AdmissionLevel,
  type FloorBase,
} from './level';
import type {PriorityDemand} from './site_demand';
import type {ServicePressure} from './retry_delay';
import type {ArrivingRequest, ServiceCapacity} from './types';
import {
  createWorkspaceAdmission,
  type WorkspaceAdmission,
} from './workspace_admission';

/** Time for which a level is used before it is computed again. */
const MAX_LEVEL_AGE: Milliseconds = 100;

/**
 * Share of the slots that admitted requests are to fill. In the model of
 * test/admission the value grows by 0.02 for each twentieth up to 1. Above 1,
 * the floor is admitted but no longer served, since it waits behind all others.
 */
const TARGET_UTILIZATION = 1;

/** Share of all slots that is kept free of requests below the level. */
const RESERVED_SHARE = 0.05;

/**
 * Time in which all entries together fill the free slots; longer than reports
 * take to show them in use.
 */
const FILL_TIME: Milliseconds = 300;

/** Time in which an engine loads a version and serves again. */
const LOAD_TIME: Milliseconds = 2_200;

/** Options of admission by level. */
export interface LevelAdmissionOptions {
  /** Name of the entry; varies which requests of a share are admitted. */
  readonly instance: string;
  readonly demand: (
    service: ServiceName,
    now: MonotonicInstant,
  ) => PriorityDemand;
  readonly capacity: (
    service: ServiceName,
    now: MonotonicInstant,
  ) => ServiceCapacity;
  /** Number of known entries, including this one. */
  readonly entries: () => number;
  readonly utilization?: number;
  readonly floorBase?: FloorBase;
}

/** Whether a request is admitted, and why. */
export type LevelDecision =
  /** No engine of the service is known, so there is no level. */
  | {readonly kind: 'noLevel'}
  | {readonly kind: 'admitted'; readonly level: AdmissionLevel}
  /** Below the level, but there are free slots that nobody else needs. */
  | {readonly kind: 'spare'; readonly level: AdmissionLevel}
  | {readonly kind: 'belowLevel'; readonly level: AdmissionLevel};

/** Decides on arrival which requests are admitted when capacity is short. */
export interface LevelAdmission {
  /** `waiting`: requests for the service that wait here for a slot. */
  readonly decide: (
    request: ArrivingRequest,
    waiting: number,
    now: MonotonicInstant,
  ) => LevelDecision;
  /**
   * How short a service is of capacity; undefined if none of its engines is
   * known.
   */
  readonly pressure: (
    service: ServiceName,
    now: MonotonicInstant,
  ) => ServicePressure | undefined;
}

interface ServiceState {
  readonly admissions: Map<number, WorkspaceAdmission>;
  level: AdmissionLevel | undefined;
  capacity: ServiceCapacity | undefined;
  decidedAt: MonotonicInstant;
  /** When demand began to exceed the capacity; undefined if it doesn't. */
  overloadedSince: MonotonicInstant | undefined;
  /** Requests below the level that may be admitted to free slots. */
  spare: number;
}

/** Creates admission by level. */
export function createLevelAdmission(
  options: LevelAdmissionOptions,
): LevelAdmission {
  const {instance, utilization = TARGET_UTILIZATION} = options;
  const services = new Map<ServiceName, ServiceState>();

  function stateOf(service: ServiceName, now: MonotonicInstant): ServiceState {
    const known = services.get(service);
    const state = known ?? {
      admissions: new Map<number, WorkspaceAdmission>(),
      level: undefined,
      capacity: undefined,
      decidedAt: -Infinity,
      overloadedSince: undefined,
      spare: 0,
    };
    services.set(service, state);
    const passed = now - state.decidedAt;
    if (passed < MAX_LEVEL_AGE) return state;
    const capacity = options.capacity(service, now);
    state.capacity = capacity;
    state.level =
      capacity.places === 0
        ? undefined
        : admissionLevel(
            options.demand(service, now),
            capacity.pacedPlaces * utilization,
            options.floorBase,
          );
    state.spare = spareAfter(state, Math.min(passed, FILL_TIME));
    state.decidedAt = now;
    const {level} = state;
    const isOverloaded = level !== undefined && level.demand > level.capacity;
    state.overloadedSince = isOverloaded
      ? (state.overloadedSince ?? now)
      : undefined;
    return state;
  }

  function spareAfter(
    {spare, capacity}: ServiceState,
    passed: Milliseconds,
  ): number {
    if (capacity === undefined) return 0;
    const free = capacity.free - capacity.places * RESERVED_SHARE;
    if (free <= 0) return 0;
    const share = free / Math.max(1, options.entries());
    return Math.min(Math.max(1, share), spare + (share * passed) / FILL_TIME);
  }

  function admissionFor(
    {admissions}: ServiceState,
    service: ServiceName,
    priority: number,
  ): WorkspaceAdmission {
    const known = admissions.get(priority);
    if (known !== undefined) return known;
    const created = createWorkspaceAdmission(
      workspace =>
        hash32(`${instance} ${service} ${priority} ${workspace}`) / 2 ** 32,
    );
    admissions.set(priority, created);
    return created;
  }

  function decide(
    {service, workspace = '', slotTime, ...request}: ArrivingRequest,
    waiting: number,
    now: MonotonicInstant,
  ): LevelDecision {
    const state = stateOf(service, now);
    const priority = wirePriority(request.priority);
    const admission = admissionFor(state, service, priority);
    const {level} = state;
    const share = level === undefined ? 1 : shareAt(level, priority);
    const isAdmitted = admission.admits({workspace, slotTime}, share, now);
    if (level === undefined) return {kind: 'noLevel'};
    if (isAdmitted) {
      return {kind: 'admitted', level};
    }
    if (waiting > 0 || state.spare < 1) return {kind: 'belowLevel', level};
    state.spare -= 1;
    return {kind: 'spare', level};
  }

  function pressure(
    service: ServiceName,
    now: MonotonicInstant,
  ): ServicePressure | undefined {
    const {level, capacity, overloadedSince} = stateOf(service, now);
    if (level === undefined) return undefined;
    const missing = level.demand - level.capacity;
    const isHelped = missing > 0 && (capacity?.loading ?? 0) >= missing;
    return {
      level,
      overloadedFor: now - (overloadedSince ?? now),
      capacityIn: isHelped ? LOAD_TIME : 0,
    };
  }

  return {decide, pressure};
}
