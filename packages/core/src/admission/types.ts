import type {
  Milliseconds,
  MonotonicInstant,
  ServiceName,
  WorkspaceName,
  ZoneName,
} from '../types';

/** What callers ask of a service with one priority. */
export interface ServiceDemand {
  readonly service: ServiceName;
  /** 0 goes first. */
  readonly priority: number;
  /** Seconds of place time that are asked for in a second. */
  readonly places: number;
  /** Requests that wait for a place now. */
  readonly waiting: number;
}

/** What the callers of a zone's entries ask for. */
export interface ZoneDemand {
  readonly zone: ZoneName;
  readonly demands: readonly ServiceDemand[];
  /** When it was surely so. */
  readonly receivedAt: MonotonicInstant;
}

/** A request whose admission is decided on its arrival. */
export interface ArrivingRequest {
  readonly service: ServiceName;
  readonly priority: number;
  /** Undefined for callers without a key. */
  readonly workspace: WorkspaceName | undefined;
  /** How long it will hold a place on an engine of normal pace. */
  readonly slotTime: Milliseconds;
}

/** What the usable engines of a service can take. */
export interface ServiceCapacity {
  /** Places of its usable engines. */
  readonly places: number;
  /** The same, each divided by the pace of its engine. */
  readonly pacedPlaces: number;
  /** Places of engines that load weights now. */
  readonly loading: number;
  /** Places that are not in use, as far as is known. */
  readonly free: number;
}
