import type {
  Milliseconds,
  MonotonicInstant,
  ServiceName,
  WorkspaceName,
  ZoneName,
} from '../types';

/** Demand for a service with one priority. */
export interface ServiceDemand {
  readonly service: ServiceName;
  /** 0 goes first. */
  readonly priority: number;
  /** Requested slot time in seconds per second. */
  readonly places: number;
  /** Requests that currently wait for a slot. */
  readonly waiting: number;
}

/** Demand of the callers of a zone's entries. */
export interface ZoneDemand {
  readonly zone: ZoneName;
  readonly demands: readonly ServiceDemand[];
  /** When the demand was certainly current. */
  readonly receivedAt: MonotonicInstant;
}

/** A request whose admission is decided on arrival. */
export interface ArrivingRequest {
  readonly service: ServiceName;
  readonly priority: number;
  /** Undefined for callers without a key. */
  readonly workspace: WorkspaceName | undefined;
  /** How long it will hold its slot on an engine of normal pace. */
  readonly slotTime: Milliseconds;
}

/** Capacity of a service's usable engines. */
export interface ServiceCapacity {
  /** Slots of its usable engines. */
  readonly places: number;
  /** The same, each divided by the pace of its engine. */
  readonly pacedPlaces: number;
  /** Slots of engines that load weights now. */
  readonly loading: number;
  /** Slots that are not in use, as far as is known. */
  readonly free: number;
}
