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

/** Time for which a level is kept before it is worked out anew. */
const MAX_LEVEL_AGE: Milliseconds = 100;

/**
 * Share of the places that admitted requests are to fill. In the model of
 * test/admission the value grows by 0.02 for each twentieth up to 1; above 1,
 * the floor is admitted but no longer served, since it waits behind all others.
 */
const TARGET_UTILIZATION = 1;

/** Share of all places that stays free of requests below the level. */
const RESERVED_SHARE = 0.05;

/**
 * Time in which all entries together fill the places found free: longer than
 * reports take to show them in use.
 */
const FILL_TIME: Milliseconds = 300;

/** Time in which an engine loads a version and serves again. */
const LOAD_TIME: Milliseconds = 2_200;

/** What admission by level goes by. */
export interface LevelAdmissionOptions {
  /** Name of the entry; spreads which requests of a share are admitted. */
  readonly instance: string;
  readonly demand: (
    service: ServiceName,
    now: MonotonicInstant,
  ) => PriorityDemand;
  readonly capacity: (
    service: ServiceName,
    now: MonotonicInstant,
  ) => ServiceCapacity;
  /** Entries that are known of, this one included. */
  readonly entries: () => number;
  readonly utilization?: number;
  readonly floorBase?: FloorBase;
}

/** Whether a request is admitted, and why. */
export type LevelDecision =
  /** No engine of the service is known, so there is no level. */
  | {readonly kind: 'noLevel'}
  | {readonly kind: 'admitted'; readonly level: AdmissionLevel}
  /** Below the level, but places stand free that nobody else wants. */
  | {readonly kind: 'spare'; readonly level: AdmissionLevel}
  | {readonly kind: 'belowLevel'; readonly level: AdmissionLevel};

/** Decides on arrival who is admitted when capacity is short. */
export interface LevelAdmission {
  /** `waiting`: requests for the service that wait here for a place. */
  readonly decide: (
    request: ArrivingRequest,
    waiting: number,
    now: MonotonicInstant,
  ) => LevelDecision;
  /** How short a service is; undefined if none of its engines is known. */
  readonly pressure: (
    service: ServiceName,
    now: MonotonicInstant,
  ) => ServicePressure | undefined;
}

interface ServiceState {
  readonly parts: Map<number, WorkspaceAdmission>;
  level: AdmissionLevel | undefined;
  capacity: ServiceCapacity | undefined;
  decidedAt: MonotonicInstant;
  /** When demand began to exceed the capacity; undefined if it doesn't. */
  overloadedSince: MonotonicInstant | undefined;
  /** Requests below the level that may be admitted to free places. */
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
      parts: new Map<number, WorkspaceAdmission>(),
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
    const part = free / Math.max(1, options.entries());
    return Math.min(Math.max(1, part), spare + (part * passed) / FILL_TIME);
  }

  function partsOf(
    {parts}: ServiceState,
    service: ServiceName,
    priority: number,
  ): WorkspaceAdmission {
    const known = parts.get(priority);
    if (known !== undefined) return known;
    const created = createWorkspaceAdmission(
      workspace =>
        hash32(`${instance} ${service} ${priority} ${workspace}`) / 2 ** 32,
    );
    parts.set(priority, created);
    return created;
  }

  function decide(
    {service, workspace = '', slotTime, ...request}: ArrivingRequest,
    waiting: number,
    now: MonotonicInstant,
  ): LevelDecision {
    const state = stateOf(service, now);
    const priority = wirePriority(request.priority);
    const parts = partsOf(state, service, priority);
    const {level} = state;
    const share = level === undefined ? 1 : shareAt(level, priority);
    const isAdmitted = parts.admits({workspace, slotTime}, share, now);
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
